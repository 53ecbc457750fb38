//! A voter: it promises terms, each once, and answers only when that is durable.
//!
//! A voter whose folder lacks promises that it has made must not vote by it. How that is known: each promise it writes down is
//! counted, the others remember the count that they were told, and at its start a voter asks them. One that has forgotten
//! is let in anew by a majority of the others: it takes over the highest term of each job that they have promised, which
//! is at least that of every owner it had a part in, and has another *life* from then on; whoever let it in says so with
//! each of its own promises, so that a claimer counts no promise of the life before.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::message::{Ask, Hello, Known, Refusal, Say};
use crate::{majority, Fence, Micros, Name, Run, Set, Terms, Voters, LONGEST_NAME, MILLISECOND, MOST_JOBS};

/// Writes that wait for the disk at the most: what is claimed beyond that would wait longer than a claim is tried.
const MOST_WAITING: usize = 1_024;
/// Stands for a run in a promise that is nobody's: of that term nothing is promised any more. Runs are drawn from 64 bits.
const NOBODY: Run = Run(0);
/// How often a voter that starts asks the others.
const HELLO: Micros = 100 * MILLISECOND;

/// What a voter keeps in its folder.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Durable {
    /// It has voted, or been let in: an empty folder is not that.
    pub founded: bool,
    pub life: u64,
    /// How often a promise was written down.
    pub writes: u64,
    /// The highest promise of each job.
    pub promises: BTreeMap<Name, Fence>,
    /// What the other voters have told of themselves.
    pub others: BTreeMap<Name, Other>,
    /// The voters that it counts by, and the highest number of them for which it promises nothing by earlier ones any more.
    pub set: Set,
    pub frozen: u32,
}

/// What is to be written down: the head whole, and of the promises those that are new. So what a promise costs does not grow
/// with how many there are.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Change {
    pub head: Head,
    pub promises: Vec<(Name, Fence)>,
}

/// All that a voter keeps beside its promises.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    pub founded: bool,
    pub life: u64,
    pub writes: u64,
    pub others: BTreeMap<Name, Other>,
    pub set: Set,
    pub frozen: u32,
}

impl Durable {
    /// What the folder holds once a change is in it.
    pub fn apply(&mut self, Change { head, promises }: &Change) {
        let Head { founded, life, writes, others, set, frozen } = head.clone();
        (self.set, self.frozen) = (set, frozen);
        (self.founded, self.life, self.writes, self.others) = (founded, life, writes, others);
        self.promises.extend(promises.iter().cloned());
    }

    fn head(&self) -> Head {
        let Durable { founded, life, writes, others, set, frozen, .. } = self;
        let (founded, life, writes, others) = (*founded, *life, *writes, others.clone());
        Head { founded, life, writes, others, set: *set, frozen: *frozen }
    }
}

/// What is remembered of another voter.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Other {
    pub writes: u64,
    /// The least life of it that counts, and the start of it that was given that life here.
    pub life: u64,
    pub start: Option<Run>,
}

/// What the caller is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Make this durable, and call `synced` with the number once it is. Until then nothing that hangs on it is sent.
    Write {
        number: u64,
        change: Change,
    },
    /// Answer a claimer, at the place that it asked from.
    Say {
        to: Run,
        say: Say,
    },
    /// Tell or ask another voter.
    Ask {
        to: Name,
        ask: Ask,
    },
    Answer {
        to: Name,
        say: Say,
    },
    Event(Event),
}

/// What operators hear of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// It votes from now on; `anew` where it had forgotten promises and was let in.
    Votes { anew: bool },
    /// Its folder lacks promises that it has made: it waits to be let in.
    Forgot,
    /// Nothing can be made durable: it votes no more until it is started again.
    Broken,
    /// It is no voter any more; it has told those after it what it had promised.
    Retired,
    /// Its folder counts by other voters than its configuration: by a later change of them, or by others of that number.
    OtherVoters(Set),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Standing {
    /// It has started, and asks the others.
    Asks {
        forgot: bool,
        known: BTreeMap<Name, Known>,
    },
    Votes,
    /// It is among the voters no more.
    Retired,
    /// What it wrote could not be made durable.
    Broken,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Lease {
    fence: Fence,
    until: Micros,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    me: Name,
    start: Run,
    others: Vec<Name>,
    /// Voters before the last change, but this one; and whether this one was and is among them.
    former: Vec<Name>,
    voters: Voters,
    set: Set,
    /// It has yet to take over what was promised by the voters before, and has written down that it promises no more by them.
    carries: bool,
    frozen: bool,
    terms: Terms,
    durable: Durable,
    standing: Standing,
    leases: BTreeMap<Name, Lease>,
    /// Until then it does not know who holds what it had promised before it started.
    quiet: Micros,
    /// The jobs that is so of, where its folder lacks nothing; else all that were ever promised.
    quiet_for: Option<BTreeSet<Name>>,
    next_hello: Micros,
    writes: u64,
    /// What is to be sent once a write is durable, in the order of the writes.
    waiting: VecDeque<(u64, Vec<Held>)>,
    out: VecDeque<Output>,
}

/// What waits for a write.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Held {
    Grant {
        to: Run,
        job: Name,
        fence: Fence,
        number: u64,
    },
    Answer {
        to: Name,
        say: Say,
    },
    Votes {
        anew: bool,
    },
    /// At the very first start.
    Founded,
    Frozen,
}

impl Voter {
    /// A process starts with what its folder holds. `voters` are all of them, this one too, unless it was one before their
    /// last change; `start` tells this start from any other.
    pub fn start(
        me: &Name,
        start: Run,
        voters: &Voters,
        terms: Terms,
        durable: Durable,
        now: Micros,
    ) -> Self {
        let but_me = |names: &[Name]| names.iter().filter(|name| *name != me).cloned().collect();
        let set = voters.set();
        let (known, founded) = (durable.set, durable.founded);
        // One that was away for a whole change was no part of what was promised then.
        let forgot = !founded || known.number + 1 < set.number;
        let carries = founded && known.number + 1 == set.number;
        let others: Vec<Name> = but_me(&voters.names);
        // What its folder never had it has never promised, and can have no part in.
        let quiet_for = (!forgot && !carries).then(|| durable.promises.keys().cloned().collect());
        let mut voter = Voter {
            former: but_me(&voters.before),
            voters: voters.clone(),
            set,
            carries,
            frozen: false,
            me: me.clone(),
            start,
            others,
            terms,
            durable,
            standing: Standing::Asks { forgot, known: BTreeMap::new() },
            leases: BTreeMap::new(),
            quiet: now + terms.lease,
            quiet_for,
            next_hello: now,
            writes: 0,
            waiting: VecDeque::new(),
            out: VecDeque::new(),
        };
        // A change that has begun is to be finished: by the voters before nothing may be promised any more.
        let later = known.number.max(voter.durable.frozen) > set.number;
        if founded && (later || known.number == set.number && known != set) {
            voter.standing = Standing::Broken;
            voter.out.push_back(Output::Event(Event::OtherVoters(known)));
        } else if carries {
            // From now on it promises nothing by the voters before, whatever becomes of the change.
            voter.durable.frozen = set.number;
            voter.durable.writes += 1;
            voter.write(Vec::new(), vec![Held::Frozen]);
        }
        voter
    }

    pub fn votes(&self) -> bool {
        self.standing == Standing::Votes
    }

    /// It can't make promises durable, and makes none until it is started anew.
    pub fn broken(&self) -> bool {
        self.standing == Standing::Broken
    }

    pub fn durable(&self) -> &Durable {
        &self.durable
    }

    /// Who holds a job as far as this voter knows, and for how long.
    pub fn holder(&self, now: Micros, job: &str) -> Option<(Fence, Micros)> {
        let lease = self.leases.get(job).filter(|lease| lease.until > now)?;
        Some((lease.fence, lease.until - now))
    }

    /// All jobs that this voter knows to be held, by whom and for how long.
    pub fn held(&self, now: Micros) -> impl Iterator<Item = (&Name, Fence, Micros)> {
        let leases = self.leases.iter().filter(move |(_, lease)| lease.until > now);
        leases.map(move |(job, lease)| (job, lease.fence, lease.until - now))
    }

    pub fn due(&self) -> Option<Micros> {
        matches!(self.standing, Standing::Asks { .. }).then_some(self.next_hello)
    }

    pub fn take(&mut self) -> Option<Output> {
        self.out.pop_front()
    }

    pub fn tick(&mut self, now: Micros) {
        let Standing::Asks { forgot, .. } = &self.standing else { return };
        if now < self.next_hello {
            return;
        }
        self.next_hello = now + HELLO;
        let hello = Hello {
            of: self.me.clone(),
            start: self.start,
            writes: self.durable.writes,
            life: self.durable.life,
            forgot: *forgot && !self.empty(),
            empty: self.empty(),
        };
        for to in self.peers() {
            self.out.push_back(Output::Ask { to, ask: Ask::Hello(hello.clone()) });
        }
        // One that is alone asks nobody.
        self.let_in();
    }

    /// All others that vote, or did before the last change.
    fn peers(&self) -> Vec<Name> {
        let mut all: Vec<Name> = self.others.iter().chain(&self.former).cloned().collect();
        all.sort();
        all.dedup();
        all
    }

    fn is_peer(&self, name: &Name) -> bool {
        self.others.contains(name) || self.former.contains(name)
    }

    fn empty(&self) -> bool {
        !self.durable.founded
    }

    /// A claimer, or another voter, asks something.
    pub fn asked(&mut self, now: Micros, from: Run, ask: Ask) {
        match ask {
            Ask::Claim { job, fence, number, set } => {
                if let Err(why) = self.claim(now, from, &job, (fence, number), set) {
                    let say = Say::Refused { job, fence, number, why };
                    self.out.push_back(Output::Say { to: from, say });
                }
            }
            Ask::Release { job, fence } => {
                // Whoever has a later term is not meant.
                if self.leases.get(&job).is_some_and(|lease| lease.fence == fence) {
                    self.leases.remove(&job);
                }
            }
            Ask::Hello(hello) => self.hello(hello),
            Ask::Wrote { of, writes, life } => self.wrote(&of, writes, life),
        }
    }

    fn claim(
        &mut self,
        now: Micros,
        from: Run,
        job: &Name,
        (fence, number): (Fence, u64),
        set: Set,
    ) -> Result<(), Refusal> {
        if !self.votes() || fence.run != from {
            return Err(Refusal::Silent);
        }
        // Danger: two owners of one term, by majorities of two sets that have nobody in common.
        if set != self.set {
            return Err(Refusal::Set(self.set));
        }
        let promised = self.durable.promises.get(job).copied();
        match promised {
            Some(promise) if promise == fence => {
                self.grants(now, from, job, fence, number);
                return Ok(());
            }
            // Of one term there is one promise, whoever asks for it later.
            Some(promise) if promise.term >= fence.term => return Err(Refusal::Higher(promise)),
            None if self.durable.promises.len() >= MOST_JOBS
                || job.is_empty()
                || job.len() > LONGEST_NAME =>
            {
                return Err(Refusal::Full)
            }
            _ => {}
        }
        let lease = self.leases.get(job).filter(|lease| lease.fence.run != fence.run && lease.until > now);
        // Who held it when this voter started is not known: what it took over from others may be of one who never won.
        let unsure = self.quiet > now && self.quiet_for.as_ref().is_none_or(|jobs| jobs.contains(job));
        let quiet = promised.filter(|_| unsure).map(|promise| (self.quiet, promise));
        let lease = lease.map(|lease| (lease.until, lease.fence));
        if let Some((until, by)) = lease.max(quiet) {
            return Err(Refusal::Held { left: until - now, by });
        }
        if self.waiting.len() >= MOST_WAITING {
            return Err(Refusal::Busy);
        }
        self.durable.promises.insert(job.clone(), fence);
        self.durable.writes += 1;
        let held = Held::Grant { to: from, job: job.clone(), fence, number };
        self.write(vec![(job.clone(), fence)], vec![held]);
        Ok(())
    }

    /// Says yes, after what has to be durable for it; the lease counts from now.
    fn grants(&mut self, now: Micros, to: Run, job: &Name, fence: Fence, number: u64) {
        // A write of this very promise may still be under way.
        let pending = self.waiting.iter_mut().find(|(_, held)| {
            held.iter().any(|held| matches!(held, Held::Grant { job: own, fence: its, .. } if own == job && *its == fence))
        });
        if pending.is_some() {
            return;
        }
        self.leases.insert(job.clone(), Lease { fence, until: now + self.terms.lease });
        let lives = self.durable.others.iter().map(|(name, other)| (name.clone(), other.life)).collect();
        let say = Say::Granted { job: job.clone(), fence, number, life: self.durable.life, lives };
        self.out.push_back(Output::Say { to, say });
    }

    fn write(&mut self, promises: Vec<(Name, Fence)>, held: Vec<Held>) {
        self.writes += 1;
        self.waiting.push_back((self.writes, held));
        let change = Change { head: self.durable.head(), promises };
        self.out.push_back(Output::Write { number: self.writes, change });
    }

    /// All writes up to this number are durable; or they can't be made so.
    pub fn synced(&mut self, now: Micros, number: u64, durable: bool) {
        if !durable {
            // What was promised in memory was promised to nobody, but may be on the disk: only a start can tell.
            self.standing = Standing::Broken;
            self.waiting.clear();
            self.out.push_back(Output::Event(Event::Broken));
            return;
        }
        while self.waiting.front().is_some_and(|(own, _)| *own <= number) {
            let Some((_, held)) = self.waiting.pop_front() else { return };
            for held in held {
                match held {
                    // A later promise may have taken its place; then this one is said to nobody.
                    Held::Grant { to, job, fence, number }
                        if self.durable.promises.get(&job) == Some(&fence) =>
                    {
                        self.grants(now, to, &job, fence, number);
                        self.tell_wrote();
                    }
                    Held::Grant { .. } => {}
                    Held::Answer { to, say } => self.out.push_back(Output::Answer { to, say }),
                    Held::Frozen => self.frozen = true,
                    Held::Founded => {
                        self.quiet_for = Some(BTreeSet::new());
                        self.standing = Standing::Asks { forgot: false, known: BTreeMap::new() };
                        self.next_hello = now;
                    }
                    Held::Votes { .. } if !self.voters.names.contains(&self.me) => {
                        self.standing = Standing::Retired;
                        self.out.push_back(Output::Event(Event::Retired));
                    }
                    Held::Votes { anew } => {
                        self.standing = Standing::Votes;
                        self.quiet = now + self.terms.lease;
                        self.out.push_back(Output::Event(Event::Votes { anew }));
                    }
                }
            }
        }
    }

    /// The others are to remember how much this voter has written: so a folder from before is found out.
    fn tell_wrote(&mut self) {
        for to in &self.others {
            let (writes, life) = (self.durable.writes, self.durable.life);
            let ask = Ask::Wrote { of: self.me.clone(), writes, life };
            self.out.push_back(Output::Ask { to: to.clone(), ask });
        }
    }

    // Starts.

    /// Another voter starts, and asks what is known here.
    fn hello(&mut self, hello: Hello) {
        if !self.is_peer(&hello.of) || self.standing == Standing::Broken {
            return;
        }
        let known = self.durable.others.get(&hello.of).cloned().unwrap_or_default();
        // Whoever is let in has a life that nobody has counted yet; from now on none before it counts here. One start is given
        // one life, however often it asks.
        let lost = (hello.forgot || hello.empty || known.writes > hello.writes) && !self.empty();
        let given = known.start == Some(hello.start);
        let mut next = known.clone();
        next.life = known.life.max(hello.life);
        if lost && !given {
            next.life += 1;
            next.start = Some(hello.start);
        }
        let say = Say::Known(Known { life: next.life, ..self.known(&hello.of) });
        next.writes = known.writes.max(hello.writes);
        let told = self.waiting.iter().any(|(_, held)| {
            held.iter().any(|held| matches!(held, Held::Answer { to, .. } if *to == hello.of))
        });
        if lost && !given {
            // What it is told of its life must outlast this process.
            self.durable.others.insert(hello.of.clone(), next);
            self.write(Vec::new(), vec![Held::Answer { to: hello.of, say }]);
        } else if !told {
            self.out.push_back(Output::Answer { to: hello.of, say });
        }
    }

    /// Another voter has answered, or was heard to have written so often.
    pub fn answered(&mut self, from: &Name, say: Say) {
        let Say::Known(known) = say else { return };
        if known.of != self.me || !self.is_peer(from) {
            return;
        }
        let (writes, founded) = (self.durable.writes, self.durable.founded);
        let Standing::Asks { forgot, known: all } = &mut self.standing else {
            return self.raise(known.life);
        };
        if founded && known.writes > writes && !*forgot {
            *forgot = true;
            self.out.push_back(Output::Event(Event::Forgot));
        }
        all.insert(from.clone(), known);
        self.let_in();
    }

    /// It was given another life while it was let in by others, who counted it for empty still. Its folder lacks nothing, so
    /// that it may be in any life; only what it promises in the latest counts.
    fn raise(&mut self, life: u64) {
        if self.votes() && life > self.durable.life {
            self.durable.life = life;
            self.durable.writes += 1;
            self.write(Vec::new(), Vec::new());
        }
    }

    /// A voter's own word of how often it has written. Where it does not know its latest life it is told.
    fn wrote(&mut self, of: &Name, writes: u64, life: u64) {
        if !self.others.contains(of) {
            return;
        }
        let own = self.durable.others.entry(of.clone()).or_default();
        own.writes = own.writes.max(writes);
        if life < own.life {
            let known = self.known(of);
            self.out.push_back(Output::Answer { to: of.clone(), say: Say::Known(known) });
        }
    }

    /// What is known here of another voter, and promised.
    fn known(&self, of: &Name) -> Known {
        let known = self.durable.others.get(of).cloned().unwrap_or_default();
        let forgot = matches!(self.standing, Standing::Asks { forgot: true, .. });
        Known {
            of: of.clone(),
            writes: known.writes,
            life: known.life,
            founded: self.durable.founded && !self.waiting.iter().any(|(_, held)| held.iter().any(is_votes)),
            forgot,
            pristine: self.durable.promises.is_empty(),
            set: self.durable.set,
            frozen: if self.carries && !self.frozen { 0 } else { self.durable.frozen },
            promises: self.durable.promises.clone(),
        }
    }

    fn let_in(&mut self) {
        let Standing::Asks { forgot, known } = &self.standing else { return };
        let (all, others) = (self.others.len() + 1, self.others.len());
        let sound = |own: &Known| !own.forgot && own.founded;
        let count = |wanted: &dyn Fn(&Name, &Known) -> bool| {
            known.iter().filter(|(name, own)| wanted(name, own)).count()
        };
        let by_set =
            |name: &Name, own: &Known| self.others.contains(name) && sound(own) && own.set == self.set;
        let sound_others = count(&by_set);
        let pristine = count(&|name, own| self.others.contains(name) && own.pristine);
        // Nobody has ever promised anything: all must say so, as any who is not heard might have.
        let first = self.empty() && self.voters.number == 0 && pristine == others;
        // What it was part of, a majority of the others has a part in; or its folder lacks nothing that anybody knows of.
        let taught = sound_others >= majority(others) && others > 0;
        let intact = !*forgot && !self.carries && sound_others + 1 >= majority(all);
        // A majority of the voters before promises nothing by them any more, and says what it had promised: whatever they made
        // an owner of is among that.
        let was = usize::from(self.voters.before.contains(&self.me));
        let frozen = |name: &Name, own: &Known| {
            self.former.contains(name) && sound(own) && own.frozen >= self.set.number
        };
        let carried = self.carries
            && self.frozen
            && !*forgot
            && count(&frozen) + was >= majority(self.voters.before.len());
        let intact = intact || carried;
        if !(first || taught || intact) || self.waiting.iter().any(|(_, held)| held.iter().any(is_votes)) {
            return;
        }
        let anew = *forgot;
        if anew {
            self.quiet_for = None;
        }
        (self.durable.set, self.durable.frozen, self.carries) = (self.set, self.set.number, false);
        for known in known.values() {
            for (job, fence) in &known.promises {
                let own = self.durable.promises.entry(job.clone()).or_insert(*fence);
                if fence.term > own.term {
                    *own = *fence;
                } else if anew && fence.term == own.term && fence.run != own.run {
                    // Danger: it gave this term to one of the two, who owns the job by that, and can't know to whom. Where it
                    // has forgotten nothing its own promise is the one that it gave.
                    own.run = NOBODY;
                }
            }
            self.durable.writes = self.durable.writes.max(known.writes);
            self.durable.life = self.durable.life.max(known.life);
        }
        self.durable.founded = true;
        self.durable.writes += 1;
        let promises = self.durable.promises.clone().into_iter().collect();
        // Danger: one that promises while too few others are founded to let the rest in. It promises nothing before it has
        // heard that a majority is.
        self.write(promises, vec![if first { Held::Founded } else { Held::Votes { anew } }]);
    }
}

fn is_votes(held: &Held) -> bool {
    matches!(held, Held::Votes { .. } | Held::Founded)
}
