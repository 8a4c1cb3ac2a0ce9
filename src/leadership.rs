//! Who may act for the controllers: a state machine without I/O or clock.
//!
//! A leader has two independent proofs: the state lease behind `leader/lock`, and grants by a
//! majority of controllers. Either suffices to act; both must be gone before another may take over.
//! Every deadline counts from when the request was sent and is shortened for drift; the granting
//! side counts from receipt and lengthens it. Without the state lease a leader acts only for a bounded time
//! after the moment up to which it knows of every cancellation (`cancellation_log`), and so do all who keep workers alive.

use crate::cancellation_log::{Attestation, CancellationLog};
use crate::core::model::JobId;
use crate::limits::{self, lengthened, shortened};
use crate::protocol::records::Epoch;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tracing::{debug, info, warn};

/// What a node tells its peers in every message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Status {
    /// Microseconds since the state service last answered this node.
    pub state_age: u64,
    /// Workers that checked in with this node lately.
    pub workers: u32,
    /// Machines that a leader counts as up; not told to peers.
    pub machines: u32,
    /// It attests what it knows of cancellations and takes others' word for it (`cancellation_log`); earlier versions don't.
    pub attests: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Message {
    /// From a leader (token above 0) or anybody (0). Asks for a grant if it leads.
    Heartbeat {
        token: u64,
        sent: u64,
    },
    /// A grant in answer to a heartbeat.
    Grant {
        token: u64,
        echo: u64,
    },
    PromiseRequest {
        sent: u64,
    },
    Promise {
        echo: u64,
    },
    /// The leader stops and names who should follow.
    Release {
        token: u64,
        successor: usize,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    Send(usize, Message),
    /// What we attest of cancellations, to a member that takes it.
    Attest(usize, Attestation),
    /// Read epoch and lock.
    Probe,
    /// One transaction, with a fresh state lease: epoch and lock, if the epoch is still at `entry`
    /// and, unless `over_lock`, the lock is absent.
    TakeOver {
        token: u64,
        version: u64,
        over_lock: bool,
    },
    Renew {
        lease: u64,
    },
    /// End the state lease, best effort.
    Release {
        lease: u64,
    },
    Elected {
        token: u64,
        version: u64,
    },
    /// It may keep its workers alive until then, as any lessee.
    Deposed {
        keep_until: u64,
    },
}

#[derive(Debug, Clone)]
pub enum StoreAnswer {
    Probed {
        epoch: Option<(Epoch, u64)>,
        locked: bool,
    },
    Won {
        lease: u64,
        version: u64,
        lease_sent: u64,
    },
    /// Refused, or without an answer (then the lease, if any, is to be ended).
    Lost {
        lease: Option<u64>,
    },
    Renewed {
        lease: u64,
        sent: u64,
        alive: bool,
    },
    Failed,
}

#[derive(Debug, Clone, Copy, Default)]
struct Peer {
    /// Their grant to us runs until then.
    granted: u64,
    promised: u64,
    heard: u64,
    /// When its last heartbeat came.
    beat: u64,
    status: Status,
}

#[derive(Debug)]
enum Role {
    Follower,
    /// The takeover transaction is under way.
    Taking {
        token: u64,
        by: By,
    },
    /// In a state outage without a leader: keeps workers alive under the last token, by grants of a
    /// majority, and gives no orders.
    LeaseKeeper {
        token: u64,
    },
    Leader {
        token: u64,
        lease: Option<u64>,
        lease_until: u64,
        elected: u64,
    },
}

/// What shows that nobody else acts, besides the lock being free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum By {
    Promises,
    /// The epoch names this node's own last life.
    Resuming,
    /// The lock has been free for longer than anybody may act by peers alone.
    Time,
}

#[derive(Debug)]
pub struct Leadership {
    me: usize,
    names: Vec<String>,
    incarnation: u64,
    started: u64,
    role: Role,
    peers: Vec<Peer>,
    /// Our grant to another: to whom, until when.
    grant_out: Option<(usize, u64)>,
    promise_out: Option<(usize, u64)>,
    /// What this leader granted or promised another before it led runs until then.
    bound_until: u64,
    /// Highest token known.
    token: u64,
    /// The last leader heard: node, token, when.
    leader: Option<(usize, u64, u64)>,
    /// The send time, on its clock, of the last heartbeat of the leader heard last.
    leader_stamp: u64,
    /// Workers have reached the leader heard last.
    leader_reached: bool,
    epoch: Option<(Epoch, u64)>,
    probed: bool,
    locked: bool,
    probed_at: u64,
    probe_due: u64,
    probing: bool,
    heartbeat_due: u64,
    renew_due: u64,
    campaign_due: u64,
    campaigning: bool,
    may_resume: bool,
    status: Status,
    /// Since when nobody reaches us although workers ask elsewhere or nobody at all is heard.
    unreached_since: Option<u64>,
    /// A worker has checked in with this leader since it was elected.
    reached: bool,
    autonomous_until: u64,
    /// How long workers may be kept alive without hearing of cancellations.
    longest_autonomy: u64,
    /// Which cancellations are known here, and up to when all of them.
    pub cancellations: CancellationLog,
    /// Up to when others may take what this node attested for proof of what it confirmed.
    attested_until: u64,
    /// Since when the lock is seen free under this version of the epoch, the state service never lost.
    unlocked: Option<(u64, u64)>,
    rng: SmallRng,
}

impl Leadership {
    /// `kept`: how long cancellations are remembered.
    pub fn new(
        names: Vec<String>,
        me: usize,
        incarnation: u64,
        now: u64,
        (longest_autonomy, kept): (u64, u64),
        seed: u64,
    ) -> Self {
        Leadership {
            me,
            cancellations: CancellationLog::new(names.len(), me, incarnation, now, longest_autonomy, kept),
            // An earlier life may have promised to be quiet right before it ended.
            attested_until: now + limits::QUIET,
            peers: vec![Peer::default(); names.len()],
            names,
            incarnation,
            started: now,
            role: Role::Follower,
            grant_out: None,
            promise_out: None,
            bound_until: 0,
            token: 0,
            leader: None,
            leader_stamp: 0,
            leader_reached: false,
            epoch: None,
            probed: false,
            locked: true,
            probed_at: 0,
            probe_due: now,
            probing: false,
            heartbeat_due: now,
            renew_due: 0,
            campaign_due: now,
            campaigning: false,
            may_resume: true,
            status: Status { state_age: u64::MAX, ..Status::default() },
            unreached_since: None,
            reached: false,
            autonomous_until: now,
            longest_autonomy,
            unlocked: None,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    fn majority(&self) -> usize {
        self.names.len() / 2 + 1
    }

    /// A process that has just started has forgotten what it granted: it says nothing for L.
    fn amnesiac(&self, now: u64) -> bool {
        now < self.started + lengthened(limits::GRANT)
    }

    /// Whether this node's own word counts for itself. What it granted or promised another before it took over
    /// binds it: a leader that resumed trusted leases beside the lease keeper that it had granted (the network test).
    fn own_word(&self, now: u64) -> bool {
        !self.amnesiac(now) && now >= self.bound_until
    }

    /// Until when a majority of `deadline`s runs, this node's `own` word included.
    fn majority_until(&self, own: bool, deadline: impl Fn(&Peer) -> u64) -> u64 {
        let own = usize::from(own);
        let need = self.majority() - own;
        if need == 0 {
            return u64::MAX;
        }
        let mut all: Vec<u64> =
            self.peers.iter().enumerate().filter(|(i, _)| *i != self.me).map(|(_, p)| deadline(p)).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        all.get(need - 1).copied().unwrap_or(0)
    }

    /// The token this node may act with at this moment.
    pub fn authority(&self, now: u64) -> Option<u64> {
        self.acts_until(now).1
    }

    /// Until when what this node sends may leave, as far as is known now, and the token, if that is later.
    pub fn acts_until(&self, now: u64) -> (u64, Option<u64>) {
        let Role::Leader { token, lease_until, .. } = &self.role else { return (0, None) };
        let peers = self.majority_until(self.own_word(now), |p| p.granted).min(now + limits::GRANT);
        let until = peers.min(self.alone_from(*lease_until)).max(*lease_until);
        let until = until.saturating_sub(limits::GUARD);
        (until, (now < until).then_some(*token))
    }

    /// The token under which this node may keep workers alive, without orders.
    pub fn lease_keeper(&self, now: u64) -> Option<u64> {
        let Role::LeaseKeeper { token } = self.role else { return None };
        (now + limits::GUARD < self.care_until(now)).then_some(token)
    }

    /// A cancellation may pass the lease keeper by: a zone cut off with a majority in it would keep a cancelled
    /// job's tasks alive for as long as it is cut.
    fn care_until(&self, now: u64) -> u64 {
        let granted = self.majority_until(self.own_word(now), |p| p.granted).min(now + limits::GRANT);
        granted.max(self.promises_until(now)).min(self.cancellations.keeps_until())
    }

    /// Until when a leader may act by its peers alone. What it read of the state service counts no longer than
    /// its lock does: a peer takes over by the time for which it has seen the lock free.
    fn alone_from(&self, lease_until: u64) -> u64 {
        let locked = lease_until.saturating_sub(limits::LOCK_LEASE_MS * 1_000);
        let read = self.cancellations.by_state().min(locked);
        self.cancellations.bound(read.max(self.cancellations.by_members()))
    }

    /// How long a lessee that this leader has heard may go on by itself.
    pub fn block_lease(&self, now: u64) -> u64 {
        if !self.is_leader() {
            return 0;
        }
        self.cancellations.keeps_until().saturating_sub(now).min(self.longest_autonomy)
    }

    /// The last time at which a lease keeper may have kept workers alive beside this leader: until now
    /// while it has no majority's grants, and until it got them back otherwise.
    pub fn autonomous_until(&self, now: u64) -> u64 {
        let backed = self.majority_until(self.own_word(now), |p| p.granted) > now;
        if backed {
            self.autonomous_until
        } else {
            now
        }
    }

    /// What a peer is told of our state service. An earlier version takes it for proof, once all members lack
    /// it, that nothing is cancelled without it: it is told so only where that is true.
    pub fn told_state_age(&self, now: u64, to: usize, state_age: u64) -> u64 {
        let blind = !self.peers[to].status.attests && !self.cancellations.may_be_taken_blindly(now);
        if blind {
            state_age.min(limits::STATE_LOST - 1)
        } else {
            state_age
        }
    }

    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Whom a worker should report to: named only while that leader says that workers reach it.
    pub fn leader_name(&self, now: u64) -> Option<&str> {
        let (node, _, heard) = self.leader?;
        // One that workers have stopped reaching is not named: they would hang there.
        let lost = self.leader_reached && self.peers[node].status.workers == 0;
        let known = node != self.me && now < heard + limits::PEER_WORD && !lost;
        known.then(|| self.names[node].as_str())
    }

    /// The leader that this node follows: node, token, and the stamp of its last heartbeat.
    pub fn followed(&self, now: u64) -> Option<(usize, u64, u64)> {
        let (node, token, heard) = self.leader?;
        let fresh = node != self.me && now < heard + limits::PEER_WORD && !self.is_leader();
        fresh.then_some((node, token, self.leader_stamp))
    }

    /// Nodes that this leader is not in touch with both ways: their grants echo its heartbeats, so that a
    /// node that is heard but does not hear us is among them.
    pub fn out_of_touch(&self, now: u64) -> impl Iterator<Item = usize> + '_ {
        self.others().filter(move |i| self.peers[*i].granted <= now)
    }

    /// Whether some peer reaches the state service.
    pub fn peer_has_state(&self, now: u64) -> bool {
        self.others().any(|i| self.fresh(i, now) && self.peers[i].status.state_age < limits::STATE_LOST)
    }

    /// Whether a peer is heard, or there is none.
    pub fn hears_a_peer(&self, now: u64) -> bool {
        self.names.len() == 1 || self.others().any(|i| self.fresh(i, now))
    }

    fn others(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.names.len()).filter(|i| *i != self.me)
    }

    fn fresh(&self, peer: usize, now: u64) -> bool {
        now < self.peers[peer].heard + limits::PEER_WORD && self.peers[peer].heard > 0
    }

    pub fn tick(&mut self, now: u64, status: Status) -> Vec<Action> {
        self.status = status;
        let mut actions = Vec::new();
        if self.is_leader() && self.authority(now).is_none() {
            warn!("authority ran out");
            self.step_down(now, &mut actions);
        }
        if self.is_leader() {
            self.lead(now, &mut actions);
        } else {
            self.follow(now, &mut actions);
        }
        if now >= self.heartbeat_due {
            self.heartbeat_due = now + limits::HEARTBEAT;
            let token = match self.role {
                Role::Leader { token, .. } | Role::LeaseKeeper { token } => token,
                _ => 0,
            };
            let beat = Message::Heartbeat { token, sent: now };
            actions.extend(self.others().map(|i| Action::Send(i, beat)));
        }
        actions
    }

    fn lead(&mut self, now: u64, actions: &mut Vec<Action>) {
        let Role::Leader { token, lease, elected, .. } = self.role else { return };
        if let (true, Some(lease)) = (now >= self.renew_due, lease) {
            self.renew_due = now + limits::RENEW;
            actions.push(Action::Renew { lease });
        } else if lease.is_none() && now >= self.probe_due && !self.probing {
            self.probe(now, limits::PROBE_CALM, actions);
        }
        // Refused by the state service while a peer is served: that peer can do more.
        if self.status.state_age >= limits::STATE_LOST {
            let served = self
                .others()
                .find(|i| self.fresh(*i, now) && self.peers[*i].status.state_age < limits::HEARTBEAT * 2);
            if let Some(successor) = served {
                info!(
                    successor = self.names[successor],
                    "no state service here, a peer has it: handing over"
                );
                return self.hand_over(token, successor, now, actions);
            }
        }
        self.watch_reach(token, elected, now, actions);
    }

    /// A leader whom no worker reaches is of no use to them, whatever else it reaches.
    fn watch_reach(&mut self, token: u64, elected: u64, now: u64, actions: &mut Vec<Action>) {
        let asked = self
            .others()
            .filter(|i| self.fresh(*i, now) && self.peers[*i].status.workers > 0)
            .max_by_key(|i| self.peers[*i].status.workers);
        let fresh = self.others().find(|i| self.fresh(*i, now));
        let isolated = self.names.len() > 1 && fresh.is_none();
        // That several machines fall silent at once is our cut, not theirs; a peer should stand ready
        // before they have given up on us and come to it.
        let asked = asked.or(fresh.filter(|_| self.status.machines >= limits::SILENT_TOGETHER));
        self.reached |= self.status.workers > 0;
        // Before any worker has come here, the first ones may well ask a peer first.
        let unreached = self.reached && self.status.workers == 0 && (asked.is_some() || isolated);
        if !unreached || now < elected + limits::GRANT {
            self.unreached_since = None;
            return;
        }
        let since = *self.unreached_since.get_or_insert(now);
        if now < since + limits::HEARTBEAT {
            return;
        }
        match asked {
            Some(successor) => {
                info!(successor = self.names[successor], "workers reach a peer and not us: handing over");
                self.hand_over(token, successor, now, actions);
            }
            None => {
                info!("neither peers nor workers reach us: giving up the lock");
                self.step_down(now, actions);
                self.campaign_due = now + limits::ABDICATION_PAUSE;
            }
        }
    }

    fn hand_over(&mut self, token: u64, successor: usize, now: u64, actions: &mut Vec<Action>) {
        let release = Message::Release { token, successor };
        actions.extend(self.others().map(|i| Action::Send(i, release)));
        self.step_down(now, actions);
        self.campaign_due = now + limits::ABDICATION_PAUSE;
    }

    fn step_down(&mut self, now: u64, actions: &mut Vec<Action>) {
        if let Role::Leader { lease, lease_until, .. } = self.role {
            actions.extend(lease.map(|lease| Action::Release { lease }));
            // Counted from when it surely acted: it may have stood still since.
            let acted = self.majority_until(self.own_word(now), |p| p.granted).max(lease_until).min(now);
            let keep_until = (acted + shortened(self.longest_autonomy)).min(self.cancellations.keeps_until());
            actions.push(Action::Deposed { keep_until });
        }
        self.role = Role::Follower;
        self.leader = None;
        self.unreached_since = None;
        self.probe_due = now;
        self.peers.iter_mut().for_each(|p| p.granted = 0);
    }

    /// A worker or peer has shown a higher token.
    pub fn seen_token(&mut self, token: u64, now: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.token = self.token.max(token);
        if matches!(self.role, Role::Leader { token: own, .. } if own < token) {
            warn!(token, "a higher token is about");
            self.step_down(now, &mut actions);
        }
        actions
    }

    fn probe(&mut self, now: u64, every: u64, actions: &mut Vec<Action>) {
        self.probing = true;
        self.probe_due = now + every;
        actions.push(Action::Probe);
    }

    fn leader_heard(&self, now: u64) -> bool {
        self.leader.is_some_and(|(_, _, heard)| now < heard + limits::GRANT)
    }

    fn follow(&mut self, now: u64, actions: &mut Vec<Action>) {
        let calm = self.leader_heard(now);
        if now >= self.probe_due && !self.probing {
            self.probe(now, if calm { limits::PROBE_CALM } else { limits::PROBE_LEADERLESS }, actions);
        }
        // Without a fresh reading there is nothing to condition a transaction on.
        let readable = self.probed && now < self.probed_at + limits::PROBE_CALM && !self.locked;
        if let Role::LeaseKeeper { .. } = self.role {
            if self.lease_keeper(now).is_some() && !readable && !self.peer_has_state(now) {
                return;
            }
            info!("caretaking ends");
            self.role = Role::Follower;
            self.campaign_due = now;
        }
        if self.state_lost() {
            self.unlocked = None;
        }
        if matches!(self.role, Role::Taking { .. }) || calm || now < self.campaign_due {
            return;
        }
        let may_care = now + limits::GRANT < self.cancellations.keeps_until();
        let outage = self.state_lost() && self.token > 0 && !self.peer_has_state(now) && may_care;
        if !(readable || outage) || self.grant_out.is_some_and(|(_, until)| now < until) {
            return;
        }
        if self.promise_out.is_some_and(|(to, until)| to != self.me && now < until) {
            return;
        }
        self.campaign_due = now + limits::CAMPAIGN + self.rng.random_range(0..limits::CAMPAIGN);
        if !self.amnesiac(now) {
            self.promise_out = Some((self.me, now + lengthened(limits::GRANT)));
        }
        if let (Some((version, since)), true) = (self.unlocked, readable) {
            if now >= self.acted_by_peers_until(since) {
                return self.take(version, By::Time, actions);
            }
        }
        self.campaigning = true;
        debug!("campaigning");
        let request = Message::PromiseRequest { sent: now };
        actions.extend(self.others().map(|i| Action::Send(i, request)));
        self.try_take(now, actions);
    }

    /// When whoever held the lock, free since then, can act by its peers alone no more: it lives by what it read
    /// before the lock ended, or by all members' attestations, ours among them. As long again as an earlier
    /// version believes a peer's word, and a grant's time.
    fn acted_by_peers_until(&self, unlocked: u64) -> u64 {
        let attested = self.attested_until + limits::LOCK_LEASE_MS * 1_000;
        unlocked.max(attested) + lengthened(self.longest_autonomy) + limits::PEER_WORD + limits::GRANT
    }

    fn state_lost(&self) -> bool {
        self.status.state_age >= limits::STATE_LOST
    }

    fn promises_until(&self, now: u64) -> u64 {
        // Our own promise counts only while it binds us too.
        let own = self.promise_out.filter(|(to, until)| *to == self.me && now < *until);
        self.majority_until(own.is_some(), |p| p.promised).min(own.map_or(u64::MAX, |(_, until)| until))
    }

    fn try_take(&mut self, now: u64, actions: &mut Vec<Action>) {
        if !self.campaigning || !matches!(self.role, Role::Follower) {
            return;
        }
        if self.promises_until(now) <= now + limits::GUARD {
            return;
        }
        if self.state_lost() {
            // Both proofs of any leader's cannot be seen to be gone without the state service, but a
            // leader that lives on by its state lease alone counts on no worker lease ending meanwhile.
            info!(token = self.token, "no leader and no state service: keeping workers alive");
            self.campaigning = false;
            self.role = Role::LeaseKeeper { token: self.token };
            self.peers.iter_mut().for_each(|p| p.granted = 0);
            self.heartbeat_due = now;
            return;
        }
        if self.locked {
            return;
        }
        let version = self.epoch.as_ref().map_or(0, |(_, version)| *version);
        self.take(version, By::Promises, actions);
    }

    fn take(&mut self, version: u64, by: By, actions: &mut Vec<Action>) {
        let known = self.epoch.as_ref().map_or(0, |(epoch, _)| epoch.token);
        let token = known.max(self.token) + 1;
        self.campaigning = false;
        self.role = Role::Taking { token, by };
        info!(token, ?by, "taking over");
        actions.push(Action::TakeOver { token, version, over_lock: by == By::Resuming });
    }

    /// What a member attests of cancellations. Returns the jobs that turned out to be over. A user may be waiting
    /// for us to hold them: the answer does not wait for the next heartbeat.
    pub fn attested(
        &mut self,
        now: u64,
        from: usize,
        life: u64,
        attestation: &Attestation,
    ) -> (Vec<JobId>, Vec<Action>) {
        let (over, news) = self.cancellations.attested(now, from, life, attestation);
        let mut actions = Vec::new();
        // Answered only where it brought news: two members that do not take each other's attestations, of other
        // lives say, answered one another for ever, and every copy doubled what was under way (the network test).
        if news {
            self.attest(now, from, &mut actions);
        }
        (over, actions)
    }

    /// A job that is about to be told as cancelled; whether that is news, and whether it may be told. The others
    /// hear of it at once.
    pub fn confirm(&mut self, now: u64, job_id: JobId) -> (bool, bool, Vec<Action>) {
        let (news, may) = self.cancellations.confirm(now, job_id);
        let mut actions = Vec::new();
        if news || !may {
            (0..self.names.len()).for_each(|to| self.attest(now, to, &mut actions));
        }
        (news, may, actions)
    }

    fn attest(&mut self, now: u64, to: usize, actions: &mut Vec<Action>) {
        let lost = self.status.state_age >= limits::QUIET_AFTER;
        if let Some(attestation) = self.cancellations.attest_to(now, to, lost).filter(|_| to != self.me) {
            // It proves nothing beyond the heartbeat that it answers, the promise to be quiet aside.
            let quiet = if lost { limits::QUIET } else { 0 };
            self.attested_until = self.attested_until.max(self.peers[to].beat + quiet);
            actions.push(Action::Attest(to, attestation));
        }
    }

    pub fn message(
        &mut self,
        now: u64,
        from: usize,
        life: u64,
        status: Status,
        message: Message,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        if from >= self.names.len() || from == self.me {
            return actions;
        }
        self.peers[from].heard = now;
        self.peers[from].status = status;
        if let Message::Heartbeat { sent, .. } = message {
            self.peers[from].beat = now;
            self.cancellations.heartbeat(from, life, status.attests, sent);
            self.attest(now, from, &mut actions);
        }
        match message {
            Message::Heartbeat { token: 0, .. } => {}
            Message::Heartbeat { token, sent } => self.heartbeat(now, from, token, sent, &mut actions),
            Message::Grant { token, echo } => {
                let current = match self.role {
                    Role::Leader { token: own, .. } | Role::LeaseKeeper { token: own } => own == token,
                    _ => false,
                };
                if current && echo <= now {
                    self.autonomous_until = self.autonomous_until(now);
                    let until = echo + shortened(limits::GRANT);
                    self.peers[from].granted = self.peers[from].granted.max(until);
                }
            }
            Message::PromiseRequest { sent } => {
                let own = self.promise_out.is_some_and(|(to, _)| to == self.me);
                if own && from < self.me && matches!(self.role, Role::Follower) {
                    // Two candidates that promise only themselves would block each other for L, again
                    // and again: the one with the lower number goes first.
                    self.campaigning = false;
                    self.promise_out = None;
                    self.campaign_due = now + limits::GRANT / 2;
                }
                if self.may_promise(now, from) {
                    self.promise_out = Some((from, now + lengthened(limits::GRANT)));
                    actions.push(Action::Send(from, Message::Promise { echo: sent }));
                }
            }
            Message::Promise { echo } => {
                if echo <= now {
                    let until = echo + shortened(limits::GRANT);
                    self.peers[from].promised = self.peers[from].promised.max(until);
                    self.try_take(now, &mut actions);
                }
            }
            Message::Release { token, successor } => {
                if self.grant_out.is_some_and(|(to, _)| to == from) && token >= self.token {
                    self.grant_out = None;
                }
                if self.leader.is_some_and(|(node, t, _)| node == from && t <= token) {
                    self.leader = None;
                }
                self.probe_due = now;
                // The others leave the successor a head start.
                let wait = if successor == self.me { 0 } else { limits::GRANT };
                self.campaign_due = now + wait;
            }
        }
        actions
    }

    fn heartbeat(&mut self, now: u64, from: usize, token: u64, sent: u64, actions: &mut Vec<Action>) {
        if token < self.token {
            // A deposed leader's, or one that was held on its way.
            return;
        }
        if matches!(self.role, Role::Leader { token: own, .. } if own >= token) {
            return;
        }
        actions.extend(self.seen_token(token, now));
        if let Role::LeaseKeeper { .. } = self.role {
            self.role = Role::Follower;
        }
        if self.leader.is_none_or(|(node, t, _)| (node, t) != (from, token)) {
            self.leader_reached = false;
        }
        self.leader_reached |= self.peers[from].status.workers > 0;
        self.leader = Some((from, token, now));
        self.leader_stamp = sent;
        self.campaigning = false;
        if matches!(self.role, Role::Follower) && self.promise_out.is_some_and(|(to, _)| to == self.me) {
            // Our own campaign is over, and with it what we promised ourselves.
            self.promise_out = None;
        }
        let promised = self.promise_out.is_some_and(|(to, until)| to != from && now < until);
        let granted = self.grant_out.is_some_and(|(to, until)| to != from && now < until);
        if !self.amnesiac(now) && !promised && !granted {
            self.grant_out = Some((from, now + lengthened(limits::GRANT)));
            actions.push(Action::Send(from, Message::Grant { token, echo: sent }));
        }
    }

    fn may_promise(&self, now: u64, to: usize) -> bool {
        let granted = self.grant_out.is_some_and(|(node, until)| node != to && now < until);
        let promised = self.promise_out.is_some_and(|(node, until)| node != to && now < until);
        !self.amnesiac(now) && !granted && !promised && matches!(self.role, Role::Follower)
    }

    pub fn store(&mut self, now: u64, answer: StoreAnswer) -> Vec<Action> {
        let mut actions = Vec::new();
        match answer {
            StoreAnswer::Probed { epoch, locked } => self.probed(now, epoch, locked, &mut actions),
            StoreAnswer::Won { lease, version, lease_sent } => {
                let Role::Taking { token, by } = self.role else {
                    actions.push(Action::Release { lease });
                    return actions;
                };
                let lease_until = lease_sent + shortened(limits::LOCK_LEASE_MS * 1_000);
                // The commit must have been answered while the promises still run.
                let promised = by != By::Promises || self.promises_until(now) > now;
                if !promised || lease_until <= now + limits::GUARD {
                    info!("won too late, starting over");
                    self.role = Role::Follower;
                    actions.push(Action::Release { lease });
                    return actions;
                }
                info!(token, "leading");
                self.token = self.token.max(token);
                let epoch = Epoch { token, node: self.names[self.me].clone(), incarnation: self.incarnation };
                self.epoch = Some((epoch, version));
                self.role = Role::Leader { token, lease: Some(lease), lease_until, elected: now };
                self.peers.iter_mut().for_each(|p| (p.granted, p.promised) = (0, 0));
                self.may_resume = false;
                self.reached = false;
                self.autonomous_until = now;
                let given = [self.grant_out, self.promise_out].into_iter().flatten();
                let others = given.filter(|(to, _)| *to != self.me).map(|(_, until)| until);
                self.bound_until = others.max().unwrap_or(0);
                self.grant_out = None;
                self.leader = None;
                self.renew_due = now + limits::RENEW;
                self.heartbeat_due = now;
                actions.push(Action::Elected { token, version });
            }
            StoreAnswer::Lost { lease } => {
                actions.extend(lease.map(|lease| Action::Release { lease }));
                if matches!(self.role, Role::Taking { .. }) {
                    self.role = Role::Follower;
                    self.probe_due = now;
                }
            }
            StoreAnswer::Renewed { lease, sent, alive } => {
                if let Role::Leader { lease: own, lease_until, .. } = &mut self.role {
                    if *own == Some(lease) {
                        if alive {
                            let until = sent + shortened(limits::LOCK_LEASE_MS * 1_000);
                            *lease_until = (*lease_until).max(until);
                        } else {
                            // It ended; grants may carry us on, but the lock is open to others.
                            *own = None;
                            self.probe_due = now;
                        }
                    }
                }
            }
            StoreAnswer::Failed => self.probing = false,
        }
        actions
    }

    fn probed(&mut self, now: u64, epoch: Option<(Epoch, u64)>, locked: bool, actions: &mut Vec<Action>) {
        self.probing = false;
        let older = match (&epoch, &self.epoch) {
            (Some((_, new)), Some((_, known))) => new < known,
            (None, Some(_)) => true,
            _ => false,
        };
        if older {
            return;
        }
        if let Some((epoch, _)) = &epoch {
            actions.extend(self.seen_token(epoch.token, now));
        }
        // Another's epoch: this leader has been followed.
        self.epoch = epoch;
        self.locked = locked;
        let version = self.epoch.as_ref().map_or(0, |(_, version)| *version);
        let since = self.unlocked.filter(|(at, _)| *at == version).map_or(now, |(_, since)| since);
        self.unlocked = (!locked).then_some((version, since));
        self.probed = true;
        self.probed_at = now;
        if let Role::Leader { lease: None, .. } = self.role {
            // The lock is lost while peers still grant: take it anew under a new token.
            if !locked {
                self.step_down(now, actions);
                self.campaign_due = now;
            }
            return;
        }
        let resume = match &self.epoch {
            Some((epoch, version)) if epoch.node == self.names[self.me] => {
                (epoch.incarnation != self.incarnation).then_some(*version)
            }
            _ => None,
        };
        // The epoch names this very node before it restarted: that process is dead, and nobody acts.
        if let (Some(version), true, Role::Follower) = (resume, self.may_resume, &self.role) {
            self.take(version, By::Resuming, actions);
        }
    }
}

#[cfg(test)]
#[path = "leadership_tests.rs"]
mod tests;
