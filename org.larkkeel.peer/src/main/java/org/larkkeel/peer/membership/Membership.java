/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;

/**
 * The membership of one node: a deterministic state machine of the SWIM family.
 *
 * <p>Each period the node probes one member of a shuffled round. An unanswered probe is repeated
 * directly and through helpers; without any answer the member is suspected, and dead if it does not
 * refute the suspicion in time. All that is learnt rides on the probes and their answers, within a
 * bound of bytes a message.
 *
 * <p>Invariants: the record in force about a host never gets smaller in the order of {@link
 * Member#supersedes}, while it is remembered; only the member itself raises its refutation. A node
 * that stood still does not hold its own silence against others. Not safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class Membership {
  private static final int JOIN_FAN_OUT = 3;
  private static final int STOP_FAN_OUT = 8;

  /** Of pings whose answer matters only for what it carries. */
  private static final long NO_SEQUENCE = 0;

  private static final long REVISION_REPEAT = TimeUnit.SECONDS.toNanos(1);

  private final MembershipSettings settings;
  private final Random random;
  private final MemberTable table = new MemberTable();
  private final Dissemination dissemination = new Dissemination();
  private final Allowance allowance;
  private final Prober prober;
  private final Map<HostName, Suspicion> suspicions = new HashMap<>();
  private final Map<HostName, Revision> revisions = new HashMap<>();
  private final Map<String, LoadRecord> loads = new LinkedHashMap<>();
  private final List<NodeAddress> seeds;
  private List<HostEntry> hosts = List.of();
  private List<Effect> effects = new ArrayList<>();
  private Member self;
  private long now;
  private Revision held = Revision.NONE;
  private Revision announcedRevision = Revision.NONE;
  private long announcedAt;
  private long nextSync;
  private long nextRejoin;
  private long nextJoin;
  private boolean joined;
  private boolean stopped;

  /**
   * Creates the membership of a node that knows nobody yet.
   *
   * @param settings periods and bounds
   * @param self the node's own record, live
   * @param seeds addresses to join through, besides those of the host list
   * @param seed of the random choices
   * @param now nanoseconds
   */
  public Membership(
      MembershipSettings settings, Member self, List<NodeAddress> seeds, long seed, long now) {
    this.settings = settings;
    this.self = self;
    this.seeds = List.copyOf(seeds);
    this.random = new Random(seed);
    this.allowance = new Allowance(settings.piggybackBytesPerSecond(), now);
    this.prober = new Prober(settings, random, now);
    this.now = now;
    this.nextJoin = now;
    this.nextSync = now + (long) (random.nextDouble() * settings.syncPeriod());
    this.nextRejoin = now + (long) (random.nextDouble() * settings.rejoinPeriod());
  }

  /**
   * Takes the next event.
   *
   * @param event the event, never earlier than the one before
   * @return what to do, in order
   */
  public List<Effect> on(Event event) {
    if (stopped) {
      return List.of();
    }
    effects = new ArrayList<>();
    now = event.now();
    forgivePause(event.now());
    switch (event) {
      case Event.Tick tick -> onTick(tick.now());
      case Event.Received received -> onReceived(received);
      case Event.HostList list -> onHostList(list);
      case Event.RevisionHeld revision -> onRevisionHeld(revision.revision());
      case Event.LoadChanged change -> learnLoad(change.load());
      case Event.Leave ignored -> announce(MemberState.LIVE, true);
      case Event.Stop ignored -> onStop();
    }
    return effects;
  }

  /**
   * When the next {@link Event.Tick} is due.
   *
   * @return nanoseconds
   */
  public long nextDeadline() {
    long deadline = Math.min(prober.nextDeadline(), Math.min(nextSync, nextRejoin));
    if (!joined) {
      deadline = Math.min(deadline, nextJoin);
    }
    for (Suspicion suspicion : suspicions.values()) {
      deadline = Math.min(deadline, suspicion.nextDeadline());
    }
    return deadline;
  }

  /**
   * The node's own record.
   *
   * @return the record in force
   */
  public Member self() {
    return self;
  }

  /**
   * Tells whether a peer has answered since the start.
   *
   * @return true once the node has joined
   */
  public boolean isJoined() {
    return joined;
  }

  /**
   * All members known, with the node itself; dead and left ones for a while.
   *
   * @return a new list
   */
  public List<Member> members() {
    List<Member> all = table.all();
    all.add(self);
    return all;
  }

  /**
   * The hosts that may own something: present and not leaving.
   *
   * @return a new set
   */
  public Set<HostName> owners() {
    Set<HostName> owners = new HashSet<>();
    for (Member member : table.present()) {
      if (!table.isLeaving(member)) {
        owners.add(member.id().host());
      }
    }
    if (!self.leaving()) {
      owners.add(self.id().host());
    }
    return owners;
  }

  /**
   * The configuration revision that a host last said it holds.
   *
   * @param host the host
   * @return the revision, empty if it was never heard from directly
   */
  public Optional<Revision> revisionOf(HostName host) {
    return host.equals(self.id().host())
        ? Optional.of(held)
        : Optional.ofNullable(revisions.get(host));
  }

  private void forgivePause(long now) {
    long late = now - nextDeadline();
    if (late > settings.directTimeout()) {
      prober.shift(late);
      suspicions.replaceAll((host, suspicion) -> suspicion.shift(late));
    }
  }

  private void onTick(long now) {
    table.forgetTombstones(now);
    followSuspicions(now);
    for (Prober.Probe probe : prober.takeFailed(now)) {
      suspect(probe.target(), now);
    }
    for (Prober.Probe probe : prober.takeHelpDue(now)) {
      askForHelp(probe);
    }
    if (prober.isDue(now)) {
      prober.next(now, table).ifPresent(this::ping);
    }
    if (!joined && nextJoin <= now) {
      nextJoin = now + settings.probePeriod();
      join();
    }
    if (nextSync <= now) {
      nextSync = now + settings.syncPeriod();
      randomPresent(1, self.id()).forEach(member -> requestSync(member.address()));
    }
    if (nextRejoin <= now) {
      nextRejoin = now + settings.rejoinPeriod();
      rejoin();
    }
  }

  private void ping(Prober.Probe probe) {
    Member target = probe.target();
    send(target.address(), new Message.Ping(headerFor(target), probe.sequence(), target.id()));
  }

  private void askForHelp(Prober.Probe probe) {
    ping(probe);
    Member target = probe.target();
    for (Member helper : randomPresent(settings.helpers(), target.id())) {
      Message.Header header = headerFor(helper);
      send(
          helper.address(),
          new Message.PingRequest(header, probe.sequence(), target.id(), target.address()));
    }
  }

  private void suspect(Member target, long now) {
    Member known = table.find(target.id().host()).orElse(target);
    if (known.id().equals(target.id()) && known.state() == MemberState.LIVE) {
      learn(known.withState(MemberState.SUSPECT), now, false);
    }
  }

  /** Asks each suspect several times before the verdict, then calls the silent ones dead. */
  private void followSuspicions(long now) {
    List<HostName> silent = new ArrayList<>();
    List<HostName> asked = new ArrayList<>();
    suspicions.replaceAll(
        (host, suspicion) -> {
          if (suspicion.deadline() <= now) {
            silent.add(host);
          } else if (suspicion.askAt() <= now) {
            asked.add(host);
            return suspicion.asked();
          }
          return suspicion;
        });
    for (HostName host : asked) {
      table.find(host).ifPresent(this::askSuspect);
    }
    for (HostName host : silent) {
      table.find(host).ifPresent(known -> learn(known.withState(MemberState.DEAD), now, false));
      suspicions.remove(host);
    }
  }

  private void askSuspect(Member suspect) {
    send(suspect.address(), new Message.Ping(headerFor(suspect), NO_SEQUENCE, suspect.id()));
  }

  private void join() {
    List<NodeAddress> known = new ArrayList<>(seeds);
    for (HostEntry entry : hosts) {
      known.add(entry.address());
    }
    known.removeIf(self.address()::equals);
    Collections.shuffle(known, random);
    for (NodeAddress address : known.subList(0, Math.min(JOIN_FAN_OUT, known.size()))) {
      requestSync(address);
    }
  }

  private void rejoin() {
    Set<NodeAddress> present = new HashSet<>();
    for (Member member : table.present()) {
      present.add(member.address());
    }
    List<NodeAddress> lost = new ArrayList<>();
    for (HostEntry entry : hosts) {
      lost.add(entry.address());
    }
    lost.addAll(seeds);
    lost.removeIf(address -> present.contains(address) || address.equals(self.address()));
    if (!lost.isEmpty()) {
      requestSync(lost.get(random.nextInt(lost.size())));
    }
  }

  private void requestSync(NodeAddress address) {
    send(
        address,
        new Message.SyncRequest(header(List.of(self)), table.digest(self), Optional.empty()));
  }

  private void onReceived(Event.Received received) {
    Message message = received.message();
    Message.Header header = message.header();
    if (header.sender().host().equals(self.id().host())) {
      defendAgainst(header.sender());
      return;
    }
    boolean page = message instanceof Message.SyncReply;
    for (Member member : header.members()) {
      learn(member, received.now(), page);
    }
    header.load().forEach(this::learnRemoteLoad);
    hearRevision(header, received.now());
    switch (message) {
      case Message.Ping ping -> onPing(received.source(), ping);
      case Message.PingRequest request -> onPingRequest(received, request);
      case Message.Ack ack -> onAck(ack);
      case Message.SyncRequest request -> onSyncRequest(received.source(), request);
      case Message.SyncReply reply -> onSyncReply(received.source(), reply);
    }
  }

  private void onPing(NodeAddress source, Message.Ping ping) {
    if (!ping.target().host().equals(self.id().host())) {
      return;
    }
    NodeId sender = ping.header().sender();
    List<Member> forced = new ArrayList<>(contradictions(sender));
    if (!ping.target().equals(self.id()) || contradictsSelf(ping.header())) {
      forced.add(self);
    }
    send(source, new Message.Ack(header(forced), ping.sequence(), self.id()));
    if (table.find(sender.host()).isEmpty()) {
      requestSync(source);
    }
  }

  /** The sender has yet to hear a refutation, perhaps one that is no longer disseminated. */
  private boolean contradictsSelf(Message.Header header) {
    for (Member member : header.members()) {
      if (member.id().host().equals(self.id().host()) && !member.equals(self)) {
        return true;
      }
    }
    return false;
  }

  private void onPingRequest(Event.Received received, Message.PingRequest request) {
    NodeId target = request.target();
    long sequence = prober.relay(received.source(), request.sequence(), target, received.now());
    Message.Header header = header(contradictions(target));
    send(request.address(), new Message.Ping(header, sequence, target));
  }

  private void onAck(Message.Ack ack) {
    prober.answered(ack.sequence(), ack.target());
    prober
        .takeRelay(ack.sequence(), ack.target())
        .ifPresent(
            relay ->
                send(
                    relay.requester(),
                    new Message.Ack(header(List.of()), relay.sequence(), relay.target())));
  }

  private void onSyncRequest(NodeAddress source, Message.SyncRequest request) {
    long digest = table.digest(self);
    boolean equal = request.after().isEmpty() && digest == request.digest();
    MemberTable.Page page =
        equal
            ? new MemberTable.Page(List.of(self), false)
            : table.page(self, request.after(), settings.pageBytes());
    Message.Header header = new Message.Header(self.id(), held, page.members(), List.of());
    send(source, new Message.SyncReply(header, digest, page.more()));
  }

  private void onSyncReply(NodeAddress source, Message.SyncReply reply) {
    joined = true;
    List<Member> page = reply.header().members();
    if (reply.more() && !page.isEmpty()) {
      Optional<HostName> last = Optional.of(page.getLast().id().host());
      send(source, new Message.SyncRequest(header(List.of()), table.digest(self), last));
    }
  }

  private void onHostList(Event.HostList list) {
    hosts = list.hosts();
    Set<HostName> leaving = new HashSet<>();
    for (HostEntry entry : hosts) {
      if (entry.leaving()) {
        leaving.add(entry.host());
      }
    }
    if (leaving.remove(self.id().host()) && !self.leaving()) {
      announce(MemberState.LIVE, true);
    }
    for (HostName host : table.replaceListedAsLeaving(leaving)) {
      table.find(host).ifPresent(this::changed);
    }
  }

  private void onRevisionHeld(Revision revision) {
    if (revision.isAfter(held)) {
      held = revision;
    }
  }

  private void hearRevision(Message.Header header, long now) {
    HostName host = header.sender().host();
    Optional<Member> sender = table.find(host);
    if (sender.isEmpty()) {
      return;
    }
    revisions.put(host, header.revision());
    boolean fresh = header.revision().isAfter(announcedRevision);
    boolean due = fresh || now - announcedAt >= REVISION_REPEAT;
    if (header.revision().isAfter(held) && due) {
      announcedRevision = header.revision();
      announcedAt = now;
      effects.add(new Effect.NewerRevision(sender.get(), header.revision()));
    }
  }

  private void onStop() {
    announce(MemberState.LEFT, true);
    for (Member member : randomPresent(STOP_FAN_OUT, self.id())) {
      send(member.address(), new Message.Ping(header(List.of(self)), NO_SEQUENCE, member.id()));
    }
    stopped = true;
  }

  private void announce(MemberState state, boolean leaving) {
    self = self.announce(self.refutation() + 1, state, leaving);
    dissemination.add(self);
    effects.add(new Effect.MemberChanged(self, leaving));
  }

  private void learn(Member heard, long now, boolean fromPage) {
    HostName host = heard.id().host();
    if (host.equals(self.id().host())) {
      defend(heard);
      return;
    }
    Optional<Member> known = table.find(host);
    if (known.isEmpty()) {
      // A page may hold what all others have forgotten already.
      if (!fromPage || heard.state().isPresent()) {
        accept(heard, now);
        prober.include(host);
      }
      return;
    }
    Member member = known.get();
    Member next = fromPage ? softened(heard, member) : heard;
    if (!next.supersedes(member)) {
      return;
    }
    boolean restarted = !member.id().equals(next.id());
    if (restarted && member.state().isPresent()) {
      changed(member.withState(MemberState.DEAD));
    }
    accept(next, now);
    if (!member.state().isPresent() && next.state().isPresent()) {
      prober.include(host);
    }
  }

  /** After a partition both sides hold the other as dead; each gets the chance to refute. */
  private static Member softened(Member heard, Member known) {
    boolean refutable =
        heard.state() == MemberState.DEAD
            && known.state().isPresent()
            && heard.id().equals(known.id());
    return refutable ? heard.withState(MemberState.SUSPECT) : heard;
  }

  private void accept(Member member, long now) {
    HostName host = member.id().host();
    table.put(member, now + settings.tombstoneTime());
    dissemination.add(member);
    if (member.state() == MemberState.SUSPECT) {
      suspicions.put(host, Suspicion.start(now, settings.suspicionTime(table.size())));
    } else {
      suspicions.remove(host);
    }
    if (!member.state().isPresent()) {
      revisions.remove(host);
    }
    changed(member);
  }

  private void changed(Member member) {
    effects.add(new Effect.MemberChanged(member, table.isLeaving(member)));
  }

  private void defend(Member heard) {
    int order = heard.id().incarnation().compareTo(self.id().incarnation());
    if (order > 0) {
      effects.add(new Effect.Superseded(heard.id()));
      return;
    }
    boolean contradicted =
        order == 0 && heard.refutation() >= self.refutation() && heard.state() != self.state();
    if (order < 0) {
      dissemination.add(self);
    } else if (contradicted || heard.refutation() > self.refutation()) {
      self = self.announce(heard.refutation() + 1, self.state(), self.leaving());
      dissemination.add(self);
    }
  }

  private void defendAgainst(NodeId sender) {
    if (sender.incarnation().compareTo(self.id().incarnation()) > 0) {
      effects.add(new Effect.Superseded(sender));
    }
  }

  private void learnRemoteLoad(LoadRecord load) {
    if (learnLoad(load)) {
      effects.add(new Effect.LoadLearned(load));
    }
  }

  private boolean learnLoad(LoadRecord load) {
    LoadRecord known = loads.get(load.key());
    if (known != null && known.version() >= load.version()) {
      return false;
    }
    loads.remove(load.key());
    if (loads.size() >= settings.loadKeys()) {
      loads.remove(loads.keySet().iterator().next());
    }
    loads.put(load.key(), load);
    dissemination.add(load);
    return true;
  }

  private List<Member> randomPresent(int count, NodeId except) {
    List<Member> present = table.present();
    present.removeIf(member -> member.id().equals(except));
    Collections.shuffle(present, random);
    return present.subList(0, Math.min(count, present.size()));
  }

  private Message.Header headerFor(Member target) {
    return header(contradictions(target.id()));
  }

  /** The record about a node that it has to contradict, if this node holds one. */
  private List<Member> contradictions(NodeId target) {
    Optional<Member> known = table.find(target.host());
    boolean contradicted =
        known.isPresent()
            && (known.get().state() != MemberState.LIVE || !known.get().id().equals(target));
    return contradicted ? List.of(known.get()) : List.of();
  }

  private Message.Header header(List<Member> forced) {
    int limit = settings.retransmits(table.size());
    int bytes = Math.min(settings.piggybackBytes(), allowance.available(now));
    Dissemination.Payload payload = dissemination.take(bytes, limit, forced);
    allowance.spend(payload.bytes());
    return new Message.Header(self.id(), held, payload.members(), payload.load());
  }

  private void send(NodeAddress to, Message message) {
    effects.add(new Effect.Send(to, message));
  }
}
