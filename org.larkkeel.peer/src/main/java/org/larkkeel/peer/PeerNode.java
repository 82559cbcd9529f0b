/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.peer.gen.WireClaimReply;
import org.larkkeel.peer.gen.WireRecordAnswer;
import org.larkkeel.peer.gen.WireRunClaim;
import org.larkkeel.peer.gen.WireRunRecord;
import org.larkkeel.peer.limits.RateLimit;
import org.larkkeel.peer.membership.Effect;
import org.larkkeel.peer.membership.Event;
import org.larkkeel.peer.membership.HostEntry;
import org.larkkeel.peer.membership.LoadRecord;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.Membership;
import org.larkkeel.peer.membership.Message;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.transport.DatagramTransport;
import org.larkkeel.peer.transport.LeaseBatch;
import org.larkkeel.peer.transport.PeerClient;
import org.larkkeel.time.BootClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * A node of the cluster: its membership, its slot leases and rate limits, and its calls to peers.
 *
 * <p>One core thread runs the state machines and calls the listener; it waits until the next event
 * or deadline. Two further threads receive datagrams and accept connections. Safe for use by
 * several threads; no method blocks on the network.
 *
 * @since 0.1
 */
public final class PeerNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PeerNode.class);
  private static final long VIEW_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long IDLE_CHECK_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final PeerListener listener;
  private final PeerSockets sockets;
  private final PeerClient client;
  private final Membership membership;
  private final LeaseManager leases;
  private final BatchSender batchSender;
  private final AtomicLong requestIds = new AtomicLong();
  private final CoreThread core;
  private volatile PeerView view;
  private boolean viewChanged;
  private long nextViewAt;
  private long nextIdleCheckAt;

  private PeerNode(PeerSettings settings, PeerListener listener, ConfigSource configuration)
      throws IOException {
    this.listener = listener;
    this.core = new CoreThread(this::nextDeadline, this::runDue);
    PeerCallHandler handler =
        new PeerCallHandler(this::answerBatch, configuration, settings.runs());
    this.sockets = PeerSockets.open(settings, handler, this::received);
    this.client = sockets.client();
    Member self = Member.live(settings.id(), sockets.address(settings), settings.dataCentre());
    this.membership =
        new Membership(
            settings.membership(),
            self,
            settings.seeds(),
            settings.seed(),
            BootClock.SYSTEM.nanoTime());
    publishView();
    this.leases = new LeaseManager(settings.id(), settings.leases());
    this.batchSender = new BatchSender(core, client, leases);
  }

  /**
   * Opens the sockets and joins the cluster in the background.
   *
   * @param settings the settings
   * @param listener notified of changes
   * @param configuration provides the configuration that peers pull
   * @return the node
   * @throws IOException if the address can not be bound
   */
  public static PeerNode start(
      PeerSettings settings, PeerListener listener, ConfigSource configuration) throws IOException {
    PeerNode node = new PeerNode(settings, listener, configuration);
    node.core.start();
    node.sockets.datagrams().start();
    LOG.info("event=peer_started node={} address={}", settings.id(), node.address());
    return node;
  }

  /**
   * Returns the address on which this node listens.
   *
   * @return the address with the bound port
   */
  public NodeAddress address() {
    return view.self().address();
  }

  /**
   * Returns the view that this node has of the cluster. The owners are up to date; everything else
   * is refreshed a few times a second.
   *
   * @return the newest view
   */
  public PeerView view() {
    return view;
  }

  /**
   * Returns the transport of datagrams, for its counters.
   *
   * @return the transport
   */
  public DatagramTransport datagrams() {
    return sockets.datagrams();
  }

  /**
   * Sets the host list of the platform.
   *
   * @param hosts the complete list
   */
  public void updateHosts(List<HostEntry> hosts) {
    core.submit(() -> apply(new Event.HostList(BootClock.SYSTEM.nanoTime(), List.copyOf(hosts))));
  }

  /**
   * Announces to peers which configuration this node holds.
   *
   * @param revision the revision that {@link ConfigSource} returns from now on
   */
  public void advertise(Revision revision) {
    core.submit(() -> apply(new Event.RevisionHeld(BootClock.SYSTEM.nanoTime(), revision)));
  }

  /**
   * Publishes a load record to all nodes.
   *
   * @param load the record
   */
  public void publishLoad(LoadRecord load) {
    core.submit(() -> apply(new Event.LoadChanged(BootClock.SYSTEM.nanoTime(), load)));
  }

  /** Announces that this node takes no new ownership; it continues to answer until it is closed. */
  public void leave() {
    core.submit(() -> apply(new Event.Leave(BootClock.SYSTEM.nanoTime())));
  }

  /**
   * Pulls configuration from a peer.
   *
   * @param peer a member, such as one named by {@link PeerListener#newerRevision}
   * @param from the revision that this node holds
   * @return the next page; fails with {@link LarkkeelException}
   */
  public CompletableFuture<ConfigContent> pullConfig(NodeAddress peer, Revision from) {
    return client
        .pullConfig(peer, from.value())
        .thenApply(
            page ->
                new ConfigContent(
                    new Revision(page.getRevision()), page.getContent(), page.isMore()));
  }

  /**
   * Returns whether this node owns a key, according to its current view. The owner of an upstream
   * reports the upstream's capacity with {@link #updateCapacity} and cancels its orphans.
   *
   * @param key the name of the owned resource
   * @return true if this node is the owner
   */
  public boolean owns(String key) {
    HostName host = view.self().id().host();
    return view.ownership().ownerOf(key).filter(host::equals).isPresent();
  }

  /**
   * Updates the capacity of a leased resource; ignored unless this node owns the resource.
   *
   * @param key the name of the resource, such as an upstream
   * @param slots the number of slots of the resource
   * @param running the number of slots in use when the report was made
   */
  public void updateCapacity(String key, int slots, int running) {
    core.submit(() -> leases.updateCapacity(BootClock.SYSTEM.nanoTime(), key, slots, running));
  }

  /**
   * Sets the configured limits of all workspaces.
   *
   * @param rates the rate limits by workspace; absent workspaces are not limited
   * @param capacities the number of slots by key, for keys with a fixed number such as concurrency
   *     limits
   */
  public void setLimits(Map<WorkspaceName, RateLimit> rates, Map<String, Integer> capacities) {
    Map<String, RateLimit> byName = new HashMap<>();
    rates.forEach((workspace, limit) -> byName.put(workspace.value(), limit));
    core.submit(() -> leases.setLimits(BootClock.SYSTEM.nanoTime(), byName, capacities));
  }

  /**
   * Requests a slot.
   *
   * @param key the name of the resource
   * @param priority requests with a greater priority are granted first
   * @param timeout the maximum time to wait
   * @return the lease; fails with {@link LarkkeelException} of kind OVERLOADED if no slot became
   *     free in time
   */
  public CompletableFuture<SlotLease> acquireSlot(String key, int priority, Duration timeout) {
    CompletableFuture<SlotLease> result = new CompletableFuture<>();
    SlotLease lease = new SlotLease(key, requestIds.incrementAndGet());
    core.submitOrFail(
        result,
        () -> {
          long now = BootClock.SYSTEM.nanoTime();
          leases.acquireSlot(now, lease, priority, now + timeout.toNanos(), result);
        });
    return result;
  }

  /**
   * Releases a slot. Repeated calls do nothing.
   *
   * @param lease the lease
   */
  public void releaseSlot(SlotLease lease) {
    core.submit(() -> leases.releaseSlot(BootClock.SYSTEM.nanoTime(), lease));
  }

  /**
   * Counts a request against the limits of its workspace.
   *
   * @param workspace the workspace
   * @param promptTokens the prompt tokens of the request
   * @param timeout the maximum time to wait
   * @return the decision whether the request may run
   */
  public CompletableFuture<LimitDecision> acquireLimit(
      WorkspaceName workspace, long promptTokens, Duration timeout) {
    CompletableFuture<LimitDecision> result = new CompletableFuture<>();
    long id = requestIds.incrementAndGet();
    core.submitOrFail(
        result,
        () -> {
          long now = BootClock.SYSTEM.nanoTime();
          long deadline = now + timeout.toNanos();
          leases.acquireLimit(now, workspace.value(), id, promptTokens, deadline, result);
        });
    return result;
  }

  /**
   * Claims a run at the owner of its records.
   *
   * @param owner the owner
   * @param claim the claim; may be repeated
   * @return the owner's answer; fails with {@link LarkkeelException}
   */
  public CompletableFuture<WireClaimReply> claimRun(HostName owner, WireRunClaim claim) {
    return view.callAt(owner, address -> client.claimRun(address, claim));
  }

  /**
   * Records the end of a run at the owner of its records.
   *
   * @param owner the owner
   * @param end how the run ended; may be repeated
   * @return the owner's answer; fails with {@link LarkkeelException}
   */
  public CompletableFuture<WireRecordAnswer> recordRun(HostName owner, WireRunRecord end) {
    return view.callAt(owner, address -> client.recordRun(address, end));
  }

  private void received(NodeAddress source, Message message) {
    // If the queue is full, the datagram is dropped, which the protocol tolerates like a loss.
    core.offer(() -> apply(new Event.Received(BootClock.SYSTEM.nanoTime(), source, message)));
  }

  private CompletableFuture<LeaseBatch> answerBatch(LeaseBatch batch) {
    CompletableFuture<LeaseBatch> reply = new CompletableFuture<>();
    core.submitOrFail(
        reply, () -> reply.complete(leases.answer(BootClock.SYSTEM.nanoTime(), batch)));
    return reply;
  }

  private long nextDeadline() {
    return Math.min(membership.nextDeadline(), leases.nextDeadline());
  }

  private void runDue() {
    long now = BootClock.SYSTEM.nanoTime();
    if (membership.nextDeadline() - now <= 0) {
      apply(new Event.Tick(now));
    }
    if (leases.nextDeadline() <= now) {
      leases.tick(now).forEach((peer, batch) -> batchSender.send(view, peer, batch));
    }
    if (viewChanged || nextViewAt - now <= 0) {
      publishView();
      nextViewAt = now + VIEW_PERIOD_NANOS;
    }
    if (nextIdleCheckAt - now <= 0) {
      client.closeIdle();
      nextIdleCheckAt = now + IDLE_CHECK_NANOS;
    }
  }

  private void apply(Event event) {
    membership.on(event).forEach(this::execute);
  }

  private void execute(Effect effect) {
    switch (effect) {
      case Effect.Send send -> sockets.datagrams().send(send.to(), send.message());
      case Effect.MemberChanged change -> memberChanged(change);
      case Effect.NewerRevision newer -> listener.newerRevision(newer.peer(), newer.revision());
      case Effect.LoadReceived learned -> listener.loadReceived(learned.load());
      case Effect.Superseded superseded -> {
        LOG.error("event=peer_superseded later={}", superseded.successor());
        listener.superseded(superseded.successor());
      }
    }
  }

  private void memberChanged(Effect.MemberChanged change) {
    Member member = change.member();
    LOG.info(
        "event=member_changed member={} state={} leaving={} refutation={}",
        member.id(),
        member.state(),
        change.leaving(),
        member.refutation());
    viewChanged = true;
    publishView();
    long now = BootClock.SYSTEM.nanoTime();
    leases.ownersChanged(now, view.owners());
    if (!member.state().isPresent()) {
      leases.removeNode(now, member.id());
    }
    listener.memberChanged(member, change.leaving());
  }

  private void publishView() {
    viewChanged = false;
    view = PeerView.of(membership, Optional.ofNullable(view));
  }

  /** Announces to peers that this node stops, and closes its sockets. Repeated calls do nothing. */
  @Override
  public void close() {
    if (core.isStopped()) {
      return;
    }
    CompletableFuture<Void> stopSent = new CompletableFuture<>();
    core.submit(
        () -> {
          apply(new Event.Stop(BootClock.SYSTEM.nanoTime()));
          leases.close();
          stopSent.complete(null);
        });
    try {
      stopSent.get(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("event=peer_stop_not_told error=\"{}\"", e.toString());
    }
    core.stop();
    core.runRemaining();
    sockets.close();
  }

  /**
   * Closes the sockets without an announcement to peers, like a crash; for tests of failures.
   * Repeated calls do nothing.
   */
  public void abort() {
    core.stop();
    sockets.close();
  }
}
