//! Which peers a process reads through.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rampbay_jobs::process::LiveTable;
use rampbay_jobs::record::{Leader, Member, Record};
use rampbay_jobs::settings::Settings;
use rampbay_peer::client::HttpClient;
use rampbay_peer::direct::DirectStore;
use rampbay_peer::gateway::GatewayPeer;
use rampbay_peer::peer::PeerStore;
use rampbay_peer::routes::Routes;
use rampbay_peer::server::{ServerState, serve};
use rampbay_peer::service::{Followed, PeerService, handler};
use rampbay_peer::tail::TailSources;
use rampbay_peer::transport::Transport;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::sync::watch;

const LEADER: &str = "a-large-1";

/// A process in a failure domain; large ones have room.
fn member(node: &str) -> Member {
    let domain = node.chars().next().expect("a name").to_string();
    let is_large = node.contains("large");
    Member {
        node: node.to_owned(),
        address: node.to_owned(),
        failure_domain: domain,
        passes_on: !node.contains("side"),
        link_mbps: if is_large { 200 } else { 20 },
        cpu_milli: if is_large { 500 } else { 120 },
    }
}

fn routes(node: &str, members: &[&str]) -> Routes {
    let own = member(node);
    let text = serde_json::json!({
        "node": node, "ip": "127.0.0.1", "failure_domain": own.failure_domain,
        "peer_port": 7000, "metrics_port": 7001, "store": "127.0.0.1:1",
        "lease_ms": 6000, "stop_ms": 400, "revocation_ms": 5000, "visible_ms": 3000,
        "grace_s": 6.0, "remote_penalty": 3, "leader_ttl_ms": 1000,
        "link_mbps": own.link_mbps, "cpu_share": f64::from(own.cpu_milli) / 1000.0, "cores": 1
    });
    let settings: Settings = serde_json::from_value(text).expect("settings");
    let live = LiveTable::default();
    for node in members {
        live.table.borrow_mut().apply(&Record::Member(member(node)).encode());
    }
    let leader = Record::Leader(Leader { node: LEADER.to_owned(), epoch: 1 });
    live.table.borrow_mut().apply(&leader.encode());
    Routes { settings: Rc::new(settings), transport: Rc::new(HttpClient::default()), live }
}

fn names(sources: &TailSources) -> Vec<String> {
    sources().peers.iter().map(|peer| peer.address().to_owned()).collect()
}

const SITE: [&str; 6] =
    ["a-large-1", "a-small-1", "b-large-1", "b-large-2", "b-small-1", "b-side-1"];

#[rstest]
#[case::leader_reads_from_store("a-large-1", &[])]
#[case::ample_reads_through_leader("b-large-1", &["a-large-1"])]
fn sources_of_entry_of_ample(#[case] node: &str, #[case] expected: &[&str]) {
    assert_eq!(names(&routes(node, &SITE).sources_of_entry()), expected);
}

#[test]
fn sources_of_entry_of_small_near_and_ample_without_leader_first() {
    let found = names(&routes("b-small-1", &SITE).sources_of_entry());
    assert_eq!(found.len(), 3);
    assert!(found[..2].iter().all(|node| node.starts_with("b-large")), "{found:?}");
    assert_eq!(found[2], LEADER);
}

#[test]
fn sources_of_agent_ample_only() {
    let found = names(&routes("b-side-1", &SITE).sources_of_agent());
    assert!(found.iter().all(|node| node.contains("large")), "{found:?}");
    assert!(found[0].starts_with("b-"));
}

/// What passes through the leader, the planner knows at once; after it come ample ones nearby.
#[test]
fn gateways_of_agent_leader_first() {
    let found = routes("b-side-1", &SITE).gateways_of_agent()();
    let found: Vec<&str> = found.iter().map(|gateway| gateway.name()).collect();
    assert_eq!(found[0], LEADER);
    assert!(found[1].starts_with("b-large") && found[2].starts_with("b-large"), "{found:?}");
    assert_eq!(found.len(), 3);
}

#[rstest]
#[case::ample("b-large-1", &[LEADER])]
#[case::small("b-small-1", &[LEADER])]
#[case::leader(LEADER, &[])]
fn gateways_of_entry_leader_alone(#[case] node: &str, #[case] expected: &[&str]) {
    let found = routes(node, &SITE).gateways_of_entry()();
    let found: Vec<&str> = found.iter().map(|gateway| gateway.name()).collect();
    assert_eq!(found, expected);
}

/// Whoever appends by itself has found no way through the leader, and so may all entries; the leader's own appends
/// wait behind those that it gathers.
#[rstest]
#[case::agent("b-side-1", 6)]
#[case::entry("b-small-1", 6)]
#[case::leader(LEADER, 1)]
fn writers_beside_a_process(#[case] node: &str, #[case] expected: u32) {
    assert_eq!(routes(node, &SITE).writers()(), expected);
}

/// Where no machine has room, agents read through all entries, and entries from the store.
#[test]
fn sources_without_ample_ones() {
    let site = ["a-small-1", "b-small-1", "b-side-1"];
    assert_eq!(names(&routes("b-side-1", &site).sources_of_agent()), ["b-small-1", "a-small-1"]);
    assert!(names(&routes("b-small-1", &site).sources_of_entry()).is_empty());
}

#[rstest]
#[case::small("b-small-1", true)]
#[case::ample("b-large-1", false)]
fn successors_of_small_only(#[case] node: &str, #[case] expected: bool) {
    assert_eq!(routes(node, &SITE).preferred_leaders().is_some(), expected);
}

/// A machine with room may hold an agent, whose view has gaps: an entry could lead by it.
#[test]
fn sources_of_entry_of_small_entries_only() {
    let site = ["a-large-1", "b-small-1", "b-side-large-1"];
    assert_eq!(names(&routes("b-small-1", &site).sources_of_entry()), [LEADER]);
}

/// An agent never stands, however much room it has: a leader that handed over to it would do so for ever.
#[rstest]
#[case::agent("b-side-large-1", false)]
#[case::entry("b-large-1", true)]
#[tokio::test]
async fn successors_entries_only(#[case] node: &str, #[case] expected: bool) {
    let routes = routes("b-small-1", &[]);
    let address = free_address().await;
    let answering = Member { address: address.to_string(), ..member(node) };
    routes.live.table.borrow_mut().apply(&Record::Member(answering).encode());
    let transport = Rc::clone(&routes.transport);
    let preferred_leaders =
        routes.preferred_leaders().expect("a process with little room has some");
    let answers = async {
        while !PeerStore::new(Rc::clone(&transport), address.to_string()).responds().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        preferred_leaders.any_reachable().await
    };
    let never = watch::channel(ServerState::Open);
    let local = tokio::task::LocalSet::new();
    let answered = local.run_until(async {
        tokio::select! {
            served = serve(address, 1 << 20, handler(served(&transport)), never.1) => {
                panic!("the peer serves: {served:?}")
            }
            answers = answers => answers,
        }
    });
    assert_eq!(answered.await, expected);
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

/// What a peer without a store serves: it answers pings.
fn served(transport: &Rc<dyn Transport>) -> PeerService {
    let nowhere = PeerStore::new(Rc::clone(transport), "127.0.0.1:1".to_owned());
    let direct = DirectStore::new(Rc::new(nowhere), Duration::from_secs(1));
    PeerService {
        direct: direct.clone(),
        gathers: direct,
        followed: Followed::new(),
        reports: None,
        snapshots: None,
    }
}
