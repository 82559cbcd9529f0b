/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSet;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.relay.RelayConfiguration;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelaySettings;
import org.larkkeel.relay.RelayUpstream;
import org.larkkeel.relay.RoomAsk;
import org.larkkeel.relay.RoomKeeping;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.Stage;

/**
 * Room for calls: memory is set aside at an upstream before a prompt is read, so that none is read
 * in vain.
 *
 * <p>By {@link RoomKeeping}, this node takes room by itself, asks another, or gives it to the calls
 * of all. Invariant: a call waits here or has a home, and never both. Not safe for use by several
 * threads.
 */
final class Rooms {
  private static final long MILLI = 1_000_000L;

  /** Room that other nodes see as well is taken after a random time, up to this. */
  private static final long CONTEST_NANOS = 80 * MILLI;

  private final Fleet fleet;
  private final Timers timers;
  private final SplittableRandom random;
  private final RelaySettings settings;
  private final Calls calls;
  private final Readers readers;
  private final WaitingRoom room = new WaitingRoom();
  private final RemoteCalls remote = new RemoteCalls(room);
  private RoomKeeping keeping = RoomKeeping.EACH;
  private boolean contesting;

  /** What room is needed for. */
  interface Calls {
    /** The configuration in force; null if there is none. */
    RelayConfiguration configuration();

    /** How many nodes there are. */
    int nodes();

    /** Whether the node stops. */
    boolean isDraining();

    /** Whether a call may be sent to an upstream. */
    boolean isUsable(long at, CallState c, UpstreamState s);

    /** Begins the work on a call that has a home. */
    void begin(long at, CallState c, Optional<Choice> reader);

    /** Sends a call that can not wait any more where it does least harm. */
    void force(long at, CallState c);

    /** Gives a call up. */
    void giveUp(long at, CallState c, ErrorKind kind, String detail);

    /** Tells a call's caller to come back after some milliseconds. */
    void sendBack(long at, CallState c, long retryAfter, String detail);

    /** Does something. */
    void emit(RelayEffect effect);
  }

  Rooms(Fleet fleet, Timers timers, SplittableRandom random, RelaySettings settings, Calls calls) {
    this.fleet = fleet;
    this.timers = timers;
    this.random = random;
    this.settings = settings;
    this.calls = calls;
    this.readers = new Readers(fleet);
  }

  /** Whether a call needs memory at the upstream that runs it. */
  boolean needsRoom(CallState c) {
    return c.call.size().prompt() > 0 && calls.configuration().bounds(c.service).memoryTokens() > 0;
  }

  /** What running a call asks of an upstream. */
  Need need(CallState c, long at) {
    return Sizing.run(c, calls.configuration(), calls.nodes(), at);
  }

  /** Sets memory aside, or lets the call wait for it; sends it elsewhere if the node stops. */
  void settle(long at, CallState c) {
    if (calls.isDraining()) {
      calls.giveUp(at, c, ErrorKind.NOT_READY, "the node stops");
    } else if (keeping != RoomKeeping.ASK && !room.has(c.service) && findHome(at, c)) {
      begin(at, c);
    } else {
      await(at, c);
    }
  }

  /** Lets a call wait for room. */
  void await(long at, CallState c) {
    c.moveOut();
    OptionalLong rested = fleet.takesWorkAt(at, c.service, c.without);
    if (c.runs == 0 && rested.isPresent() && rested.getAsLong() > at + RoomTimes.wait(c, at)) {
      long millis = RoomTimes.restMillis(at, rested.getAsLong(), random);
      calls.sendBack(at, c, millis, RoomTimes.closed(c.service));
      return;
    }
    room.add(c);
    report(
        new RelayFact.Waiting(
            c.call.wireId(), c.service.value(), need(c, at).units(), room.size()));
    timers.add(new Timers.Due.Room(at + RoomTimes.wait(c, at), c.call.id()));
  }

  /** Takes a call out. */
  void remove(CallState c) {
    room.remove(c);
  }

  /** Sets memory aside for a call, if there is any by what is known here. */
  boolean findHome(long at, CallState c) {
    Need need = need(c, at);
    Optional<Choice> choice =
        fleet.choose(at, c.service, Stage::runs, c.without, settings.place(), need);
    choice.ifPresent(found -> takeRoom(at, c, found.best(), need));
    return choice.isPresent();
  }

  private void takeRoom(long at, CallState c, UpstreamState home, Need need) {
    c.moveIn(home, need.units());
    report(
        new RelayFact.RoomTaken(
            c.call.wireId(),
            home.upstream().id(),
            need.units(),
            home.wholeLoad(),
            need.memory(),
            fleet.nodesHeard(),
            at - c.arrivedAt));
  }

  private void begin(long at, CallState c) {
    calls.begin(at, c, reader(at, c));
  }

  private Optional<Choice> reader(long at, CallState c) {
    long prompt = promptToRead(c);
    if (prompt == 0) {
      return Optional.empty();
    }
    int mostEach = Sizing.connections(calls.configuration().bounds(c.service), calls.nodes());
    return readers.choose(at, c, c.home.upstream().place(), prompt, mostEach);
  }

  /** The tokens of the call's prompt if another upstream than its home is to read it; 0 if not. */
  private long promptToRead(CallState c) {
    int prompt = c.call.size().prompt();
    boolean read = c.began || c.prompt != null || isKept(c);
    return !read && prompt >= settings.stageTokens() ? prompt : 0;
  }

  /** Whether an engine that ran the call for its caller before may keep its prompt still. */
  private static boolean isKept(CallState c) {
    return c.call.resumes() && c.call.prompt().isKnown();
  }

  /**
   * The upstream that is most likely to keep the prompt of a call that is to be run, other than its
   * home: that which has read it for this node, or that which the prompt ranks first.
   */
  Optional<RelayUpstream> keeps(long at, CallState c) {
    if (c.reader != null) {
      return fleet.find(c.reader).filter(s -> fleet.isSound(s, at)).map(UpstreamState::upstream);
    }
    return isKept(c) ? fleet.first(at, c.service, c.call.prompt(), c.home) : Optional.empty();
  }

  /** Sets who gives room from now on. */
  void keeping(long at, RoomKeeping now) {
    keeping = now;
    fleet.hearsSums(now == RoomKeeping.ASK);
    admitWaiting(at);
  }

  /** What others have in flight has changed. */
  void loadChanged(long at) {
    if (keeping == RoomKeeping.KEEP) {
      admitWaiting(at);
    } else if (keeping == RoomKeeping.EACH && room.size() > 0 && !contesting) {
      contesting = true;
      timers.add(new Timers.Due.Contest(at + random.nextLong(CONTEST_NANOS)));
    }
  }

  /** The random time is over. */
  void contestOver(long at) {
    contesting = false;
    admitWaiting(at);
  }

  /** Upstreams have started again: room that was granted at the lives before is void. */
  void livesEnded(Set<UpstreamLife> lives) {
    remote.livesEnded(lives);
  }

  /** Forgets what silent nodes have asked for. */
  void forgetSilent(long at) {
    remote.forgetSilent(at, Fleet.SILENCE_NANOS);
  }

  /**
   * Places those that wait, while there is room for the next of their service. One that has fewer
   * upstreams to choose from than others does not hold these up.
   */
  void admitWaiting(long at) {
    if (room.size() == 0 || keeping == RoomKeeping.ASK || calls.configuration() == null) {
      return;
    }
    Set<ServiceName> full = new HashSet<>();
    for (Seeker s : room.inOrder(at)) {
      if (!s.isWaiting() || full.contains(s.service())) {
        continue;
      }
      boolean placed =
          switch (s) {
            case CallState c -> admit(at, c);
            case RemoteCall r -> grant(at, r);
          };
      if (!placed && s.without().isEmpty()) {
        full.add(s.service());
      }
    }
  }

  private boolean admit(long at, CallState c) {
    if (!findHome(at, c)) {
      return false;
    }
    room.remove(c);
    begin(at, c);
    return true;
  }

  private boolean grant(long at, RemoteCall r) {
    Need need = Sizing.remote(r, calls.configuration(), at);
    if (need.memory() == 0) {
      return false;
    }
    Optional<Choice> home =
        fleet.choose(at, r.service(), Stage::runs, r.without(), r.place(), need);
    if (home.isEmpty()) {
      return false;
    }
    UpstreamState runs = home.get().best();
    Optional<UpstreamState> reader = readerElsewhere(at, r, runs);
    room.remove(r);
    r.grant(runs, reader);
    report(
        new RelayFact.RoomGiven(
            r.ask().wireId(),
            r.node(),
            runs.upstream().id(),
            reader.map(s -> s.upstream().id().value()).orElse(""),
            r.ask().units(),
            runs.wholeLoad(),
            need.memory(),
            at - r.arrivedAt()));
    tellGrant(r);
    return true;
  }

  private Optional<UpstreamState> readerElsewhere(long at, RemoteCall r, UpstreamState home) {
    long prompt = r.ask().prompt();
    return prompt == 0
        ? Optional.empty()
        : readers
            .choose(at, r, home.upstream().place(), prompt, Integer.MAX_VALUE)
            .map(Choice::best);
  }

  private void tellGrant(RemoteCall c) {
    calls.emit(
        new RelayEffect.GrantRoom(
            c.node(), c.ask().call(), c.home().life(), c.reader().map(UpstreamState::life)));
  }

  /** Another node asks for room, for these calls and no others. */
  void asked(long at, HostName node, DataCentreName place, ImmutableList<RoomAsk> asks) {
    remote.asked(at, node, place, asks).forEach(this::tellGrant);
    admitWaiting(at);
  }

  /** The calls for which another node is to be asked. */
  ImmutableList<RoomAsk> asks(long at) {
    if (keeping != RoomKeeping.ASK || room.size() == 0) {
      return ImmutableList.of();
    }
    return room.own().stream().map(c -> ask(at, c)).collect(ImmutableList.toImmutableList());
  }

  private RoomAsk ask(long at, CallState c) {
    return new RoomAsk(
        c.call.id(),
        c.call.wireId(),
        c.service,
        need(c, at).units(),
        promptToRead(c),
        c.isFresh(),
        c.isBegun(),
        (at - c.arrivedAt) / MILLI,
        c.rule.targetMillis(),
        c.call.prompt(),
        ImmutableSet.<UpstreamLife>builder()
            .addAll(c.without)
            .addAll(fleet.unfit(at, c.service))
            .build());
  }

  /** Room was given to a call; it is taken unless the call has gone on, or knows better. */
  void granted(long at, CallState c, UpstreamLife home, Optional<UpstreamLife> reader) {
    Optional<UpstreamState> found = fleet.find(home).filter(s -> calls.isUsable(at, c, s));
    if (!c.waiting || found.isEmpty()) {
      return;
    }
    room.remove(c);
    takeRoom(at, c, found.get(), need(c, at));
    Optional<Choice> reads =
        reader
            .flatMap(fleet::find)
            .filter(s -> promptToRead(c) > 0 && calls.isUsable(at, c, s))
            .map(s -> new Choice(s, 0, "", 0, 1));
    calls.begin(at, c, reads);
  }

  /** A call has waited for long enough. */
  void due(long at, CallState c) {
    if (!c.waiting) {
      return;
    }
    if (c.runs > 0 || c.began) {
      room.remove(c);
      calls.force(at, c);
      return;
    }
    long after = RoomTimes.returnMillis(c, at, random);
    Need need = need(c, at);
    String detail =
        "no upstream of %s has room: need %d, most free %d of %d, nodes heard %d, keeping %s"
            .formatted(
                c.service,
                need.units(),
                fleet.mostFree(c.service, need),
                need.memory(),
                fleet.nodesHeard(),
                keeping);
    calls.sendBack(at, c, after, detail);
  }

  /** Sends the calls that wait elsewhere. */
  void drain(long at) {
    for (CallState c : room.own()) {
      if (c.waiting) {
        calls.giveUp(at, c, ErrorKind.NOT_READY, "the node stops");
      }
    }
  }

  private void report(RelayFact fact) {
    calls.emit(new RelayEffect.Report(fact));
  }
}
