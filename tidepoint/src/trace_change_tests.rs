//! Following a change through daemons' logs.

use expect_test::expect;

use super::{read_line, render};

#[test]
fn a_change_is_followed_in_order_of_time() {
    let lines = [
        "  3.0203 edge-2/router 12000 INFO E0210 configuration in force revision=9",
        "  3.0181 edge-1/keeper 11998 INFO E0110 configuration committed revision=9 base=7",
        "  3.0190 edge-2/keeper 11990 INFO E0112 key learned step=1 turn=4 revision=9 key=config",
        "  3.1007 edge-2/router 12080 INFO E0213 first request under a configuration revision=9",
        "  3.1007 edge-2/router 12080 INFO E0210 configuration in force revision=7",
    ];
    let steps = lines.iter().filter_map(|line| read_line("log", line, 9)).collect();
    expect![[r#"
              0.0 ms  edge-1/keeper                E0110 configuration committed revision=9 base=7
              0.9 ms  edge-2/keeper                E0112 key learned step=1 turn=4 revision=9 key=config
              2.2 ms  edge-2/router                E0210 configuration in force revision=9
             82.6 ms  edge-2/router                E0213 first request under a configuration revision=9
        in force at 1 routers, first requests at 1
    "#]]
    .assert_eq(&render(steps));
}

#[test]
fn a_bare_log_takes_its_name_from_the_file() {
    let step = read_line("k.log", "77 INFO E0110 configuration committed revision=3 base=1", 3).expect("read");
    assert_eq!((step.daemon.as_str(), step.time), ("k.log", 77.0));
    assert!(render(Vec::new()).contains("no daemon"));
}
