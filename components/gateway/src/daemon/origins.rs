//! Tells peers where streams began, and asks them for streams that began elsewhere.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use builds::Notice;
use builds::Origin;
use builds::StreamKey;
use builds::stream_key;
use smallvec::SmallVec;
use smallvec::smallvec;
use smol::Timer;
use types::HostName;
use types::Incarnation;

use crate::daemon::Daemon;
use crate::daemon::peers::Content;
use crate::daemon::peers::Outgoing;
use crate::protocol::CallerRequest;

/// Longest time for which a request waits for the answers of peers.
const ANSWERS_MS: Duration = Duration::from_millis(250);
/// Interval at which the answers are checked, and number of checks after which peers are asked
/// again, as datagrams may be lost.
const CHECK_MS: Duration = Duration::from_millis(4);
const CHECKS_PER_QUESTION: u32 = 10;
/// Delay of the second copy of a notice.
const SECOND_COPY_MS: Duration = Duration::from_millis(40);
/// Notices in one message; fits into one packet with names of usual length.
const NOTICES_LIMIT: usize = 16;

impl Daemon {
    /// Tells the holders of streams that were begun or resumed here where they began, twice.
    pub(super) fn send_origin_notices(self: &Rc<Self>) {
        let notices = self.core.borrow_mut().take_origin_notices();
        for notice in notices {
            let to = {
                let core = self.core.borrow();
                let holders = builds::holders(notice.key, core.fleet.peers.heard());
                self.addresses(&holders)
            };
            self.post(to.clone(), Content::Origins(vec![notice.clone()]));
            let daemon = self.clone();
            self.spawn(async move {
                Timer::after(SECOND_COPY_MS).await;
                daemon.post(to, Content::Origins(vec![notice]));
            });
        }
    }

    /// Sends a peer that has just started the entries that it should hold.
    pub(super) fn send_held_origins(self: &Rc<Self>, host: &HostName, address: SocketAddr) {
        let notices = self.core.borrow().origins_held_by(host);
        for notices in notices.chunks(NOTICES_LIMIT) {
            self.post(smallvec![address], Content::Origins(notices.to_vec()));
        }
    }

    /// Records the run of a peer. Returns whether it is a new one.
    pub(super) fn record_incarnation(&self, host: &HostName, incarnation: Incarnation) -> bool {
        let mut incarnations = self.incarnations.borrow_mut();
        if incarnations.get(host) == Some(&incarnation) {
            return false;
        }
        incarnations.insert(host.clone(), incarnation);
        true
    }

    pub(super) fn answer_origin_question(
        &self,
        to: SocketAddr,
        key: StreamKey,
        origin: Option<Origin>,
    ) {
        if let Some(origin) = origin {
            let notice = Notice { key, origin };
            self.post(smallvec![to], Content::Origins(vec![notice]));
        }
    }

    /// Waits until it is known where the stream that a request resumes began, or nobody answers.
    pub(super) async fn find_origin(&self, request: &CallerRequest) {
        let Some(began) = request
            .resumed_request
            .as_ref()
            .filter(|_| request.resume_after.is_some())
        else {
            return;
        };
        let key = stream_key(began);
        let until = self.clock.now() + ANSWERS_MS.min(request.timeout_ms / 4);
        let mut checks = 0;
        while self.clock.now() < until {
            let to = {
                let core = self.core.borrow();
                if core.origin(self.clock.now(), key).is_some() {
                    return;
                }
                self.addresses(&builds::asked(key, core.fleet.peers.heard()))
            };
            if to.is_empty() {
                return;
            }
            if checks % CHECKS_PER_QUESTION == 0 {
                self.post(to, Content::OriginQuestion(key));
            }
            checks += 1;
            Timer::after(CHECK_MS).await;
        }
    }

    fn post(&self, to: SmallVec<[SocketAddr; 4]>, content: Content) {
        // Like a lost datagram if the outbox is full; the stream is refused if nobody knows it.
        let _ = self.outbox.0.try_send(Outgoing { to, content });
    }

    fn addresses(&self, hosts: &[&HostName]) -> SmallVec<[SocketAddr; 4]> {
        let peers = self.peers.borrow();
        let named = peers.iter().filter(|peer| hosts.contains(&&peer.host));
        named.map(|peer| peer.address).collect()
    }
}
