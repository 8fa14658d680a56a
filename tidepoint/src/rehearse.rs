//! An off-peak run in the simulation, at a size of one's own.

use batch::offpeak;

use crate::flags::Rehearse;

pub fn run(flags: &Rehearse) -> Result<(), String> {
    let plan = offpeak::plan(flags.seed.unwrap_or(1), flags.jobs.unwrap_or(2000));
    let (with, without) = (offpeak::run(&plan, true), offpeak::run(&plan, false));
    println!("{} jobs, window {} ms, {} halls of {} engines", plan.jobs, plan.window_ms, plan.halls, plan.engines);
    println!("halls leave at {:?}, owner crashes at {:?}, freezes at {:?}", plan.leave, plan.crash, plan.freeze);
    println!("answered {}, unknown {}, missed {}, open {}", with.done, with.unknown, with.missed, with.open);
    println!("answered twice {}, run twice {}, invented {}", with.twice_answered, with.twice_run, with.invented);
    println!("last receipt at {} ms; sends refused for want of room: {}", with.last_ms, with.refused);
    println!(
        "interactive p50 {} ms with, {} ms without; p99 {} ms with, {} ms without",
        with.p50_ms, without.p50_ms, with.p99_ms, without.p99_ms
    );
    if with.twice_answered + with.twice_run + with.invented + with.open > 0 {
        return Err("a job was not answered exactly once".into());
    }
    Ok(())
}
