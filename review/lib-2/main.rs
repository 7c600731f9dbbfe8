//! The cases 6 to 10 and three that were not handed in: each starts hosts of the domain with the command of the
//! deploy file, and stand-ins for the platform, the workers and the client.

#![allow(dead_code, reason = "the cases share the stand-ins")]

mod daemon;
mod filler;
mod flood;
mod guarantee;
mod http;
mod json;
mod lasting;
mod log;
mod lost_worker;
mod machines;
mod pending;
mod record;
mod stall;
mod upkeep;
mod worker;
mod world;

use std::path::Path;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_default();
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let folder = Path::new(&folder);
    let code = match case.as_str() {
        "flood" => flood::run(folder, trouble),
        "stall" => stall::run(folder, trouble),
        "guarantee" => guarantee::run(folder, trouble),
        "filler" => filler::run(folder, trouble),
        // Shown, but not handed in as cases.
        "upkeep" => upkeep::run(folder, trouble),
        "pending" => pending::run(folder, trouble),
        "lost-worker" => lost_worker::run(folder, trouble),
        "lasting" => lasting::run(folder, trouble),
        _ => {
            eprintln!("usage: cases CASE FOLDER");
            2
        }
    };
    std::process::exit(code);
}
