//! Plays one case of the review: `review-case NAME FOLDER`. See `review/REPORT.md`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod daemons;
mod http;
mod json;
mod world;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = &arguments[..] else {
        eprintln!("usage: review-case NAME FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    // A case that hangs ends all that it started, and counts as one that could not run.
    std::thread::spawn(|| {
        std::thread::sleep(std::time::Duration::from_secs(114));
        println!("the case could not run: it takes too long");
        daemons::end_children(|_| true);
        std::process::exit(2);
    });
    let code = cases::play(name, folder, trouble);
    daemons::end_children(|_| true);
    std::process::exit(code);
}
