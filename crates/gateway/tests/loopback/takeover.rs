//! One process takes the place of another.

use crate::rig::*;
use serde_json::{json, Value};
use std::io::Read;
use std::os::unix::net::UnixListener;
use std::path::Path;
use std::time::{Duration, Instant};

/// A gateway before one server, and the configuration of the process that follows it at the same address.
fn first(server: &Server, folder: &Path) -> (Gateway, Agent, Value) {
    let known = [entry("s-1", server.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    let mut config = config(&agent, &known);
    config["ops"] = json!("127.0.0.1:0");
    let gateway = Gateway::start_in(&config, folder);
    config["listen"] = json!(gateway.address.to_string());
    (gateway, agent, config)
}

/// Who comes is the new process's from its yes on, and a request that is open is seen out by the old one.
#[test]
fn clients_go_to_the_process_that_follows() {
    let server =
        Server::start(|n| if n == 1 { Does::Hangs } else { Does::Answers("200 OK", b"done".to_vec()) });
    let folder = folder();
    let (old, _agent, config) = first(&server, &folder);
    let old_ops = old.ops();
    let (mut kept, mut busy) = (old.client(), old.client());
    assert_eq!(kept.call(&status()).status(), 200);
    server.request();
    busy.write(&payout("held"));
    server.request();
    let new = Gateway::start_in(&config, &folder);
    let new_ops = new.ops();
    assert_eq!(operator(new_ops, "/admin/health").status(), 200);
    assert_eq!(operator(old_ops, "/admin/health").status(), 503);
    for _ in 0..9 {
        assert_eq!(new.client().call(&status()).status(), 200);
    }
    let figures = String::from_utf8(operator(new_ops, "/admin/stats").body).unwrap();
    assert!(figures.contains("{kind=\"claim-status\",result=\"ok\"} 9\n"), "{figures}");
    old.terminate();
    assert_eq!(busy.answer().expect("a request that was open got no answer").status(), 502);
    assert!(kept.answer().is_none(), "an idle connection stays open");
    assert!(old.wait().success());
    // It gives way in turn.
    let third = Gateway::start_in(&config, &folder);
    new.terminate();
    assert!(new.wait().success());
    assert_eq!(third.client().call(&status()).status(), 200);
}

/// If the process that was to follow dies before the old one was told to stop, the old one goes on.
#[test]
fn the_old_process_goes_on_if_the_new_one_dies() {
    let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
    let folder = folder();
    let (old, _agent, config) = first(&server, &folder);
    Gateway::start_in(&config, &folder).kill();
    old.logged("this one goes on");
    assert_eq!(old.client().call(&status()).status(), 200);
    old.kill();
    // What a killed process leaves behind is no process to take over from.
    let next = Gateway::start_in(&config, &folder);
    assert_eq!(next.client().call(&status()).status(), 200);
}

/// What was used of a quota is not granted again by the process that follows.
#[test]
fn a_quota_outlives_the_process() {
    let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
    let folder = folder();
    let known = [entry("s-1", server.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    let mut config = config(&agent, &known);
    config["settings"]["plans"][0]["rate"] = json!(0.001);
    config["settings"]["plans"][0]["depth"] = json!(4.0);
    let old = Gateway::start_in(&config, &folder);
    config["listen"] = json!(old.address.to_string());
    let mut client = old.client();
    assert_eq!((client.call(&status()).status(), client.call(&status()).status()), (200, 200));
    assert_eq!(client.call(&status()).status(), 429);
    let new = Gateway::start_in(&config, &folder);
    assert_eq!(new.client().call(&status()).status(), 429, "the store is full again");
}

/// Nothing lasts but a control socket for a successor: a folder where none can be made keeps no process from serving.
#[test]
fn a_folder_that_cannot_be_written_keeps_nobody_from_serving() {
    let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
    let missing = folder().join("missing");
    let known = [entry("s-1", server.address, "room-a", "ready")];
    let agent = Agent::start(known.to_vec());
    let gateway = Gateway::start_in(&config(&agent, &known), &missing);
    assert_eq!(gateway.client().call(&status()).status(), 200);
    gateway.terminate();
    assert!(gateway.wait().success());
}

/// What is left of a quota, and how fast it fills again, do not depend on a wall clock that was stepped between the
/// starts of the two processes.
#[test]
fn a_quota_outlives_a_step_of_the_wall_clock() {
    for (rate, faults) in [(0.001, "wall_s=3600"), (4.0, "wall_s=-3600")] {
        let server = Server::start(|_| Does::Answers("200 OK", b"done".to_vec()));
        let folder = folder();
        let known = [entry("s-1", server.address, "room-a", "ready")];
        let agent = Agent::start(known.to_vec());
        let mut config = config(&agent, &known);
        config["settings"]["plans"][0]["rate"] = json!(rate);
        config["settings"]["plans"][0]["depth"] = json!(4.0);
        let old = Gateway::start_in(&config, &folder);
        config["listen"] = json!(old.address.to_string());
        let mut client = old.client();
        while client.call(&status()).status() == 200 {}
        let new = Gateway::start_in_under(&config, &folder, faults);
        let mut client = new.client();
        assert_eq!(client.call(&status()).status(), 429, "{faults}: the store is full again");
        if rate > 1.0 {
            let refilled = Instant::now() + Duration::from_secs(10);
            while client.call(&status()).status() == 429 {
                assert!(Instant::now() < refilled, "{faults}: the store does not fill");
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        std::fs::remove_dir_all(folder).unwrap();
    }
}

/// A signal to stop that comes while the old process is asked for its place ends the start: nobody is taken in by a
/// process whose time is running.
#[test]
fn a_process_told_to_stop_while_it_takes_over_never_listens() {
    let agent = Agent::start(Vec::new());
    let folder = folder();
    let old = UnixListener::bind(folder.join("takeover-127.0.0.1:0")).unwrap();
    let mut child = launch_in(&config(&agent, &[]).to_string(), &folder);
    // Asked, and silent from then on.
    let (_asked, _) = old.accept().unwrap();
    let id = child.id().to_string();
    assert!(std::process::Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
    let mut log = String::new();
    child.stderr.take().unwrap().read_to_string(&mut log).unwrap();
    assert!(child.wait().unwrap().success());
    assert!(!log.contains("listens on"), "{log}");
    std::fs::remove_dir_all(folder).unwrap();
}
