//! Links between entry hosts: authentication, decoding of messages, and a peer that does
//! not read.

use flamingowalk_node::border::peer::{
    LinkSide, PeerHello, PeerMessage, UnknownMessage, decode_message, encode_message, sign_hello,
    verify_proof,
};
use flamingowalk_node::connection::peer_link::{LinkError, LinkIdentity, PeerLink};
use flamingowalk_wire::peer::{ConfigPush, PeerHeartbeat};
use rstest::rstest;
use tokio::net::TcpListener;

fn identity(host: &str, secret: &str) -> LinkIdentity {
    LinkIdentity {
        host: host.to_owned(),
        zone: "a".to_owned(),
        incarnation: 7,
        secret: secret.to_owned(),
    }
}

async fn open_link(
    caller: LinkIdentity,
    responder: LinkIdentity,
) -> (Result<PeerLink, LinkError>, Result<PeerLink, LinkError>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let accepting = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        PeerLink::accept(stream, &responder).await
    };
    tokio::join!(PeerLink::connect(address, &caller), accepting)
}

fn hello(host: &str, nonce: &str) -> PeerHello {
    PeerHello {
        host: host.to_owned(),
        zone: "a".to_owned(),
        incarnation: 1,
        protocol: 1,
        nonce: nonce.to_owned(),
    }
}

#[tokio::test]
async fn open_same_secret() {
    let (caller, responder) = open_link(identity("a0", "s"), identity("a1", "s")).await;
    let (mut caller, mut responder) = (caller.expect("a link"), responder.expect("a link"));
    assert_eq!(caller.peer.host, "a1");
    assert_eq!(responder.peer.incarnation, 7);
    let heartbeat = PeerHeartbeat {
        digest: None,
        sequence: 3,
    };
    let message = PeerMessage::PeerHeartbeat(heartbeat);
    caller.send(&message).await.expect("sent");
    assert_eq!(responder.receive().await, Ok(message));
}

/// Guards against the limit for messages before the proof that stays in force after it.
#[tokio::test]
async fn receive_large_message_after_proof() {
    let (caller, responder) = open_link(identity("a0", "s"), identity("a1", "s")).await;
    let (mut caller, mut responder) = (caller.expect("a link"), responder.expect("a link"));
    let record = serde_json::Value::from("x".repeat(1 << 20));
    let message = PeerMessage::ConfigPush(ConfigPush { record, version: 1 });
    let (sent, received) = tokio::join!(caller.send(&message), responder.receive());
    assert_eq!((sent, received), (Ok(()), Ok(message)));
}

#[tokio::test]
async fn open_other_secret() {
    let (caller, responder) = open_link(identity("a0", "guess"), identity("a1", "s")).await;
    assert_eq!(responder.expect_err("no proof"), LinkError::Unauthenticated);
    assert_eq!(caller.expect_err("no link"), LinkError::Closed);
}

#[rstest]
#[case::reflected(LinkSide::Responder, "a0", "n0", "n1")]
#[case::other_nonce(LinkSide::Caller, "a0", "n0", "n2")]
#[case::other_host(LinkSide::Caller, "a9", "n0", "n1")]
#[case::replayed(LinkSide::Caller, "a0", "n9", "n1")]
fn proof_of_another_link(
    #[case] side: LinkSide,
    #[case] host: &str,
    #[case] own_nonce: &str,
    #[case] peer_nonce: &str,
) {
    let (own, peer) = (hello("a0", "n0"), hello("a1", "n1"));
    let proof = sign_hello("s", LinkSide::Caller, &own, &peer);
    assert!(verify_proof("s", LinkSide::Caller, &own, &peer, &proof));
    let (claimed, seen) = (hello(host, own_nonce), hello("a1", peer_nonce));
    assert!(!verify_proof("s", side, &claimed, &seen, &proof));
}

#[rstest]
#[case::empty(&[])]
#[case::not_cbor(&[0xff, 0x00])]
#[case::unknown_kind(&[0xa1, 0x63, b'n', b'e', b'w', 0xa0])]
fn decode_unknown(#[case] bytes: &[u8]) {
    assert_eq!(decode_message(bytes), Err(UnknownMessage));
}

#[test]
fn decode_unknown_field() {
    let known = PeerMessage::PeerHeartbeat(PeerHeartbeat {
        digest: None,
        sequence: 3,
    });
    let bytes = encode_message(&known).expect("encoded");
    let mut value: ciborium::Value = ciborium::from_reader(bytes.as_slice()).expect("a value");
    let field = (
        ciborium::Value::from("added-later"),
        ciborium::Value::from(1),
    );
    let inner = &mut value.as_map_mut().expect("a map")[0].1;
    inner.as_map_mut().expect("a map").push(field);
    let mut newer = Vec::new();
    ciborium::into_writer(&value, &mut newer).expect("encoded");
    assert_eq!(decode_message(&newer), Ok(known));
}

#[tokio::test]
async fn send_unread() {
    let (caller, responder) = open_link(identity("a0", "s"), identity("a1", "s")).await;
    let (mut caller, _unread) = (caller.expect("a link"), responder.expect("a link"));
    let record = serde_json::Value::from("x".repeat(1 << 20));
    let message = PeerMessage::ConfigPush(ConfigPush { record, version: 1 });
    // The socket buffers accept some messages before a send blocks.
    let error = loop {
        if let Err(error) = caller.send(&message).await {
            break error;
        }
    };
    assert_eq!(error, LinkError::Closed);
}
