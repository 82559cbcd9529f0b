/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
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
  private static final int STOP_FAN_OUT = 8;

  /** Of pings whose answer matters only for what it carries. */
  private static final long NO_SEQUENCE = 0;

  private final MembershipSettings settings;
  private final Random random;
  private final List<Effect> effects = new ArrayList<>();
  private final Dissemination dissemination = new Dissemination();
  private final RevisionTable revisions = new RevisionTable();
  private final LoadTable loads;
  private final Contacts contacts;
  private final Prober prober;
  private final MemberRecords records;
  private final MemberTable table;
  private final HeaderWriter headers;
  private long now;
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
    this.random = new Random(seed);
    this.loads = new LoadTable(settings.loadKeys());
    this.contacts = new Contacts(seeds, self.address(), random);
    this.prober = new Prober(settings, random, now);
    this.records = new MemberRecords(settings, self, dissemination, revisions, prober, effects);
    this.table = records.table();
    this.headers = new HeaderWriter(settings, records, revisions, dissemination, now);
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
    effects.clear();
    now = event.now();
    forgivePause(event.now());
    switch (event) {
      case Event.Tick tick -> onTick(tick.now());
      case Event.Received received -> onReceived(received);
      case Event.HostList list -> onHostList(list.hosts());
      case Event.RevisionHeld revision -> revisions.hold(revision.revision());
      case Event.LoadChanged change -> learnLoad(change.load());
      case Event.Leave ignored -> records.announce(MemberState.LIVE, true);
      case Event.Stop ignored -> onStop();
    }
    return List.copyOf(effects);
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
    return Math.min(deadline, records.suspicions().nextDeadline());
  }

  /**
   * The node's own record.
   *
   * @return the record in force
   */
  public Member self() {
    return records.self();
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
    return records.all();
  }

  /**
   * The hosts that may own something: present and not leaving.
   *
   * @return a new set
   */
  public Set<HostName> owners() {
    return records.owners();
  }

  /**
   * The configuration revision that a host last said it holds.
   *
   * @param host the host
   * @return the revision, empty if it was never heard from directly
   */
  public Optional<Revision> revisionOf(HostName host) {
    return records.isSelf(host) ? Optional.of(revisions.held()) : revisions.of(host);
  }

  private void forgivePause(long now) {
    long late = now - nextDeadline();
    if (late > settings.directTimeout()) {
      prober.shift(late);
      records.suspicions().shift(late);
    }
  }

  private void onTick(long now) {
    table.forgetTombstones(now);
    followSuspicions(now);
    for (Prober.Probe probe : prober.takeFailed(now)) {
      records.suspect(probe.target(), now);
    }
    for (Prober.Probe probe : prober.takeHelpDue(now)) {
      askForHelp(probe);
    }
    if (prober.isDue(now)) {
      prober.next(now, table).ifPresent(this::ping);
    }
    if (!joined && nextJoin <= now) {
      nextJoin = now + settings.probePeriod();
      contacts.toJoin().forEach(this::requestSync);
    }
    if (nextSync <= now) {
      nextSync = now + settings.syncPeriod();
      randomPresent(1).forEach(member -> requestSync(member.address()));
    }
    if (nextRejoin <= now) {
      nextRejoin = now + settings.rejoinPeriod();
      contacts.toRejoin(table.present()).ifPresent(this::requestSync);
    }
  }

  private void ping(Prober.Probe probe) {
    Member target = probe.target();
    send(
        target.address(),
        new Message.Ping(headers.headerFor(target, now), probe.sequence(), target.id()));
  }

  private void askForHelp(Prober.Probe probe) {
    ping(probe);
    Member target = probe.target();
    for (Member helper : randomPresent(settings.helpers(), target.id())) {
      Message.Header header = headers.headerFor(helper, now);
      send(
          helper.address(),
          new Message.PingRequest(header, probe.sequence(), target.id(), target.address()));
    }
  }

  /** Asks each suspect several times before the verdict, then calls the silent ones dead. */
  private void followSuspicions(long now) {
    Suspicions.Due due = records.suspicions().takeDue(now);
    for (HostName host : due.asked()) {
      table.find(host).ifPresent(this::askSuspect);
    }
    for (HostName host : due.silent()) {
      records.declareDead(host, now);
    }
  }

  private void askSuspect(Member suspect) {
    send(
        suspect.address(),
        new Message.Ping(headers.headerFor(suspect, now), NO_SEQUENCE, suspect.id()));
  }

  private void requestSync(NodeAddress address) {
    Member self = records.self();
    Message.Header header = headers.header(List.of(self), now);
    send(address, new Message.SyncRequest(header, table.digest(self), Optional.empty()));
  }

  private void onReceived(Event.Received received) {
    Message message = received.message();
    Message.Header header = message.header();
    if (records.isSelf(header.sender().host())) {
      records.defendAgainst(header.sender());
      return;
    }
    boolean page = message instanceof Message.SyncReply;
    for (Member member : header.members()) {
      records.learn(member, received.now(), page);
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
    if (!records.isSelf(ping.target().host())) {
      return;
    }
    Member self = records.self();
    NodeId sender = ping.header().sender();
    List<Member> forced = new ArrayList<>(records.contradictions(sender));
    if (!ping.target().equals(self.id()) || records.contradictSelf(ping.header().members())) {
      // The sender has yet to hear a refutation, perhaps one that is no longer disseminated.
      forced.add(self);
    }
    send(source, new Message.Ack(headers.header(forced, now), ping.sequence(), self.id()));
    if (table.find(sender.host()).isEmpty()) {
      requestSync(source);
    }
  }

  private void onPingRequest(Event.Received received, Message.PingRequest request) {
    NodeId target = request.target();
    long sequence = prober.relay(received.source(), request.sequence(), target, received.now());
    Message.Header header = headers.header(records.contradictions(target), now);
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
                    new Message.Ack(
                        headers.header(List.of(), now), relay.sequence(), relay.target())));
  }

  private void onSyncRequest(NodeAddress source, Message.SyncRequest request) {
    Member self = records.self();
    long digest = table.digest(self);
    boolean equal = request.after().isEmpty() && digest == request.digest();
    MemberTable.Page page =
        equal
            ? new MemberTable.Page(List.of(self), false)
            : table.page(self, request.after(), settings.pageBytes());
    send(source, new Message.SyncReply(headers.page(page.members()), digest, page.more()));
  }

  private void onSyncReply(NodeAddress source, Message.SyncReply reply) {
    joined = true;
    List<Member> page = reply.header().members();
    if (reply.more() && !page.isEmpty()) {
      Optional<HostName> last = Optional.of(page.getLast().id().host());
      Message.Header header = headers.header(List.of(), now);
      send(source, new Message.SyncRequest(header, table.digest(records.self()), last));
    }
  }

  private void onHostList(List<HostEntry> hosts) {
    contacts.setHosts(hosts);
    records.listAsLeaving(contacts.leaving());
  }

  private void hearRevision(Message.Header header, long now) {
    HostName host = header.sender().host();
    Optional<Member> sender = table.find(host);
    if (sender.isPresent() && revisions.hear(host, header.revision(), now)) {
      effects.add(new Effect.NewerRevision(sender.get(), header.revision()));
    }
  }

  private void onStop() {
    records.announce(MemberState.LEFT, true);
    for (Member member : randomPresent(STOP_FAN_OUT)) {
      Message.Header header = headers.header(List.of(records.self()), now);
      send(member.address(), new Message.Ping(header, NO_SEQUENCE, member.id()));
    }
    stopped = true;
  }

  private void learnRemoteLoad(LoadRecord load) {
    if (learnLoad(load)) {
      effects.add(new Effect.LoadLearned(load));
    }
  }

  private boolean learnLoad(LoadRecord load) {
    boolean newer = loads.learn(load);
    if (newer) {
      dissemination.add(load);
    }
    return newer;
  }

  private List<Member> randomPresent(int count) {
    return randomPresent(count, records.self().id());
  }

  private List<Member> randomPresent(int count, NodeId except) {
    List<Member> present = table.present();
    present.removeIf(member -> member.id().equals(except));
    Collections.shuffle(present, random);
    return present.subList(0, Math.min(count, present.size()));
  }

  private void send(NodeAddress to, Message message) {
    effects.add(new Effect.Send(to, message));
  }
}
