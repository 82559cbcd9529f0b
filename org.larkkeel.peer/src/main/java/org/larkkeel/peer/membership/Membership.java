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
 * The membership protocol of one node: a deterministic state machine of the SWIM family.
 *
 * <p>In each period the node probes one member of a shuffled round. An unanswered probe is repeated
 * directly and through other members; without any answer the member is suspected, and declared dead
 * if it does not refute the suspicion in time. Changes are piggybacked on probes and their answers,
 * within a limit of bytes per message.
 *
 * <p>Invariants: the current record of a host never decreases in the order of {@link
 * Member#supersedes}, until its tombstone expires; only the member itself increments its
 * refutation. After a pause of its own process, a node extends the deadlines of its peers instead
 * of suspecting them. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Membership {
  private static final int STOP_FAN_OUT = 8;

  /** The sequence of pings whose answer is needed only for its piggybacked records. */
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
  private long nextSyncAt;
  private long nextRejoinAt;
  private long nextJoinAt;
  private boolean joined;
  private boolean stopped;

  /**
   * Creates the membership of a node that knows no peers yet.
   *
   * @param settings periods and limits
   * @param self the node's own record, live
   * @param seeds addresses to join through, besides those of the host list
   * @param seed the seed of random choices
   * @param now the current time in nanoseconds
   */
  public Membership(
      MembershipSettings settings, Member self, List<NodeAddress> seeds, long seed, long now) {
    this.settings = settings;
    this.random = new Random(seed);
    this.loads = new LoadTable(settings.maxLoadKeys());
    this.contacts = new Contacts(seeds, self.address(), random);
    this.prober = new Prober(settings, random, now);
    this.records = new MemberRecords(settings, self, dissemination, revisions, prober, effects);
    this.table = records.table();
    this.headers = new HeaderWriter(settings, records, revisions, dissemination, now);
    this.now = now;
    this.nextJoinAt = now;
    this.nextSyncAt = now + (long) (random.nextDouble() * settings.syncPeriodNanos());
    this.nextRejoinAt = now + (long) (random.nextDouble() * settings.rejoinPeriodNanos());
  }

  /**
   * Handles the next event.
   *
   * @param event the event, never earlier than the previous one
   * @return the effects, to be executed in order
   */
  public List<Effect> on(Event event) {
    if (stopped) {
      return List.of();
    }
    effects.clear();
    now = event.now();
    compensatePause(event.now());
    switch (event) {
      case Event.Tick tick -> onTick(tick.now());
      case Event.Received received -> onReceived(received);
      case Event.HostList list -> onHostList(list.hosts());
      case Event.RevisionHeld revision -> revisions.setHeld(revision.revision());
      case Event.LoadChanged change -> mergeLoad(change.load());
      case Event.Leave ignored -> records.announce(MemberState.LIVE, true);
      case Event.Stop ignored -> onStop();
    }
    return List.copyOf(effects);
  }

  /**
   * Returns the time when the next {@link Event.Tick} is due.
   *
   * @return nanoseconds
   */
  public long nextDeadline() {
    long deadline = Math.min(prober.nextDeadline(), Math.min(nextSyncAt, nextRejoinAt));
    if (!joined) {
      deadline = Math.min(deadline, nextJoinAt);
    }
    return Math.min(deadline, records.suspicions().nextDeadline());
  }

  /**
   * Returns the node's own record.
   *
   * @return the current record
   */
  public Member self() {
    return records.self();
  }

  /**
   * Returns whether a peer has answered a sync request since the start.
   *
   * @return true once the node has joined
   */
  public boolean isJoined() {
    return joined;
  }

  /**
   * Returns all known members, including the node itself, and dead and left members until their
   * tombstones expire.
   *
   * @return a new list
   */
  public List<Member> members() {
    return records.all();
  }

  /**
   * Returns the hosts that may own keys: present and not leaving.
   *
   * @return a new set
   */
  public Set<HostName> owners() {
    return records.owners();
  }

  /**
   * Returns the configuration revision that a host last reported.
   *
   * @param host the host
   * @return the revision; empty if no message from the host itself has arrived
   */
  public Optional<Revision> revisionOf(HostName host) {
    return records.isSelf(host) ? Optional.of(revisions.held()) : revisions.of(host);
  }

  private void compensatePause(long now) {
    long pauseNanos = now - nextDeadline();
    if (pauseNanos > settings.directTimeoutNanos()) {
      prober.postpone(pauseNanos);
      records.suspicions().postpone(pauseNanos);
    }
  }

  private void onTick(long now) {
    table.expireTombstones(now);
    checkSuspicions(now);
    for (Prober.Probe probe : prober.takeFailed(now)) {
      records.suspect(probe.target(), now);
    }
    for (Prober.Probe probe : prober.takeIndirectDue(now)) {
      requestIndirectProbes(probe);
    }
    if (prober.isDue(now)) {
      prober.next(now, table).ifPresent(this::ping);
    }
    if (!joined && nextJoinAt <= now) {
      nextJoinAt = now + settings.probePeriodNanos();
      contacts.joinTargets().forEach(this::requestSync);
    }
    if (nextSyncAt <= now) {
      nextSyncAt = now + settings.syncPeriodNanos();
      randomPresent(1).forEach(member -> requestSync(member.address()));
    }
    if (nextRejoinAt <= now) {
      nextRejoinAt = now + settings.rejoinPeriodNanos();
      contacts.rejoinTarget(table.present()).ifPresent(this::requestSync);
    }
  }

  private void ping(Prober.Probe probe) {
    Member target = probe.target();
    send(
        target.address(),
        new Message.Ping(headers.headerFor(target, now), probe.sequence(), target.id()));
  }

  private void requestIndirectProbes(Prober.Probe probe) {
    ping(probe);
    Member target = probe.target();
    for (Member helper : randomPresent(settings.indirectProbes(), target.id())) {
      Message.Header header = headers.headerFor(helper, now);
      send(
          helper.address(),
          new Message.PingRequest(header, probe.sequence(), target.id(), target.address()));
    }
  }

  /**
   * Pings each suspect several times during the suspicion, then declares suspects that did not
   * refute dead.
   */
  private void checkSuspicions(long now) {
    Suspicions.Due due = records.suspicions().takeDue(now);
    for (HostName host : due.toPing()) {
      table.find(host).ifPresent(this::pingSuspect);
    }
    for (HostName host : due.expired()) {
      records.declareDead(host, now);
    }
  }

  private void pingSuspect(Member suspect) {
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
      records.checkSuperseded(header.sender());
      return;
    }
    boolean page = message instanceof Message.SyncReply;
    for (Member member : header.members()) {
      records.merge(member, received.now(), page);
    }
    header.load().forEach(this::mergeRemoteLoad);
    mergeRevision(header, received.now());
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
    List<Member> required = new ArrayList<>(records.recordsToRefute(sender));
    if (!ping.target().equals(self.id()) || records.differFromSelf(ping.header().members())) {
      // The sender has not received the latest refutation, which may no longer be disseminated.
      required.add(self);
    }
    send(source, new Message.Ack(headers.header(required, now), ping.sequence(), self.id()));
    if (table.find(sender.host()).isEmpty()) {
      requestSync(source);
    }
  }

  private void onPingRequest(Event.Received received, Message.PingRequest request) {
    NodeId target = request.target();
    long sequence =
        prober.relayProbe(received.source(), request.sequence(), target, received.now());
    Message.Header header = headers.header(records.recordsToRefute(target), now);
    send(request.address(), new Message.Ping(header, sequence, target));
  }

  private void onAck(Message.Ack ack) {
    prober.onAck(ack.sequence(), ack.target());
    prober
        .takeRelayedProbe(ack.sequence(), ack.target())
        .ifPresent(
            relayed ->
                send(
                    relayed.requester(),
                    new Message.Ack(
                        headers.header(List.of(), now), relayed.sequence(), relayed.target())));
  }

  private void onSyncRequest(NodeAddress source, Message.SyncRequest request) {
    Member self = records.self();
    long digest = table.digest(self);
    boolean equal = request.after().isEmpty() && digest == request.digest();
    MemberTable.Page page =
        equal
            ? new MemberTable.Page(List.of(self), false)
            : table.page(self, request.after(), settings.maxPageBytes());
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
    records.setListedAsLeaving(contacts.leavingHosts());
  }

  private void mergeRevision(Message.Header header, long now) {
    HostName host = header.sender().host();
    Optional<Member> sender = table.find(host);
    if (sender.isPresent() && revisions.update(host, header.revision(), now)) {
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

  private void mergeRemoteLoad(LoadRecord load) {
    if (mergeLoad(load)) {
      effects.add(new Effect.LoadReceived(load));
    }
  }

  private boolean mergeLoad(LoadRecord load) {
    boolean newer = loads.putIfNewer(load);
    if (newer) {
      dissemination.add(load);
    }
    return newer;
  }

  private List<Member> randomPresent(int count) {
    return randomPresent(count, records.self().id());
  }

  private List<Member> randomPresent(int count, NodeId excluded) {
    List<Member> present = table.present();
    present.removeIf(member -> member.id().equals(excluded));
    Collections.shuffle(present, random);
    return present.subList(0, Math.min(count, present.size()));
  }

  private void send(NodeAddress to, Message message) {
    effects.add(new Effect.Send(to, message));
  }
}
