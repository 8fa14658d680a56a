//! Tests of tracing a change through the logs of daemons.

use expect_test::expect;

use super::{parse_line, render_timeline};

#[test]
fn timeline_is_ordered_by_time_and_ignores_other_revisions() {
    let lines = [
        "  3.0203 edge-2/router 12000 INFO E0210 configuration in force revision=9",
        "  3.0181 edge-1/keeper 11998 INFO E0110 configuration committed revision=9 base=7",
        "  3.0190 edge-2/keeper 11990 INFO E0112 key learned step=1 turn=4 revision=9 key=config",
        "  3.1007 edge-2/router 12080 INFO E0213 first request under a configuration revision=9",
        "  3.1007 edge-2/router 12080 INFO E0210 configuration in force revision=7",
    ];
    let events = lines.iter().filter_map(|line| parse_line("log", line, 9)).collect();
    expect![[r#"
              0.0 ms  edge-1/keeper                E0110 configuration committed revision=9 base=7
              0.9 ms  edge-2/keeper                E0112 key learned step=1 turn=4 revision=9 key=config
              2.2 ms  edge-2/router                E0210 configuration in force revision=9
             82.6 ms  edge-2/router                E0213 first request under a configuration revision=9
        in force at 1 routers, first requests at 1
    "#]]
    .assert_eq(&render_timeline(events));
}

#[test]
fn line_without_a_collector_prefix_uses_the_log_name() {
    let event =
        parse_line("k.log", "77 INFO E0110 configuration committed revision=3 base=1", 3).expect("the line parses");
    assert_eq!((event.daemon.as_str(), event.time_ms), ("k.log", 77.0));
    assert!(render_timeline(Vec::new()).contains("no daemon"));
}
