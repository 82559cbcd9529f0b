/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import org.apache.thrift.TException;
import org.larkkeel.errors.ErrorKind;
import org.larkkeel.errors.LarkkeelException;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.peer.gen.Batch;
import org.larkkeel.peer.gen.ConfigPage;
import org.larkkeel.peer.gen.PeerService;
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
import org.larkkeel.peer.ownership.Ownership;
import org.larkkeel.peer.transport.DatagramCodec;
import org.larkkeel.peer.transport.DatagramTransport;
import org.larkkeel.peer.transport.Leases;
import org.larkkeel.peer.transport.PeerClient;
import org.larkkeel.peer.transport.PeerServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This node among its peers.
 *
 * <p>One core thread runs the state machines and calls the listener; it sleeps until the next event
 * or deadline. Two further threads receive datagrams and accept connections. Safe for use by
 * several threads; no method blocks on the network.
 *
 * @since 0.1
 */
public final class PeerNode implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(PeerNode.class);
  private static final int MAX_QUEUED = 8_192;
  private static final int BIND_ATTEMPTS = 32;
  private static final long EXCHANGE_SECONDS = 2;
  private static final long RUN_SECONDS = 5;
  private static final long VIEW_PERIOD = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long IDLE_PERIOD = TimeUnit.SECONDS.toNanos(1);

  private final PeerListener listener;
  private final ConfigSource configuration;
  private final RunService runs;
  private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
  private final PeerServer server;
  private final PeerClient client;
  private final DatagramTransport datagrams;
  private final Membership membership;
  private final LeaseDesk desk;
  private final AtomicLong requestIds = new AtomicLong();
  private final Thread core;
  private volatile PeerView view;
  private volatile boolean closed;
  private boolean viewChanged;
  private long nextView;
  private long nextIdleCheck;

  private PeerNode(PeerSettings settings, PeerListener listener, ConfigSource configuration)
      throws IOException {
    this.listener = listener;
    this.configuration = configuration;
    this.runs = settings.runs();
    Sockets sockets = bind(settings);
    this.server = sockets.server();
    this.datagrams = sockets.datagrams();
    this.client =
        new PeerClient(settings.transport(), settings.ssl(), settings.nameCheck());
    InetSocketAddress bound = new InetSocketAddress(settings.listen().getAddress(), server.port());
    Member self = Member.live(settings.id(), NodeAddress.ofSocket(bound), settings.dataCentre());
    this.membership =
        new Membership(
            settings.membership(), self, settings.seeds(), settings.seed(), System.nanoTime());
    publishView();
    this.desk = new LeaseDesk(settings.id(), settings.leases());
    this.core = Thread.ofPlatform().daemon().name("peer-core").unstarted(this::run);
  }

  private record Sockets(PeerServer server, DatagramTransport datagrams) {}

  /**
   * Opens the sockets and joins the cluster in the background.
   *
   * @param settings the settings
   * @param listener told of changes
   * @param configuration where peers pull the configuration from
   * @return the node
   * @throws IOException if the address can not be bound
   */
  public static PeerNode start(
      PeerSettings settings, PeerListener listener, ConfigSource configuration) throws IOException {
    PeerNode node = new PeerNode(settings, listener, configuration);
    node.core.start();
    node.datagrams.start();
    LOG.info("event=peer_started node={} address={}", settings.id(), node.address());
    return node;
  }

  /** Binds TCP and UDP to one port; a free TCP port may be taken for UDP, so port 0 tries again. */
  private Sockets bind(PeerSettings settings) throws IOException {
    int attempts = settings.listen().getPort() == 0 ? BIND_ATTEMPTS : 1;
    IOException failure = null;
    for (int i = 0; i < attempts; i++) {
      PeerServer tcp =
          PeerServer.open(
              settings.transport(),
              settings.listen(),
              settings.ssl(),
              settings.nameCheck(),
              new Handler());
      try {
        var address = new InetSocketAddress(settings.listen().getAddress(), tcp.port());
        DatagramCodec codec = new DatagramCodec(settings.keys());
        return new Sockets(tcp, DatagramTransport.open(address, codec, this::received));
      } catch (IOException e) {
        tcp.close();
        failure = e;
      }
    }
    throw new IOException("peer address " + settings.listen() + " can not be bound", failure);
  }

  /**
   * Where this node listens.
   *
   * @return the address, with the port that was chosen
   */
  public NodeAddress address() {
    return view.self().address();
  }

  /**
   * What this node knows of the cluster. The owners are up to date; all else is refreshed a few
   * times a second.
   *
   * @return the newest view
   */
  public PeerView view() {
    return view;
  }

  /**
   * The transport of datagrams, for its counters.
   *
   * @return the transport
   */
  public DatagramTransport datagrams() {
    return datagrams;
  }

  /**
   * Takes the platform's host list.
   *
   * @param hosts the whole list
   */
  public void updateHosts(List<HostEntry> hosts) {
    submit(() -> apply(new Event.HostList(System.nanoTime(), List.copyOf(hosts))));
  }

  /**
   * Tells peers which configuration this node holds.
   *
   * @param revision what {@link ConfigSource} now returns
   */
  public void advertise(Revision revision) {
    submit(() -> apply(new Event.RevisionHeld(System.nanoTime(), revision)));
  }

  /**
   * Spreads a load record to all nodes.
   *
   * @param load the record
   */
  public void spread(LoadRecord load) {
    submit(() -> apply(new Event.LoadChanged(System.nanoTime(), load)));
  }

  /** Announces that this node takes no new ownership; it goes on to answer until closed. */
  public void leave() {
    submit(() -> apply(new Event.Leave(System.nanoTime())));
  }

  /**
   * Pulls configuration from a peer.
   *
   * @param peer a member, such as one named by {@link PeerListener#newerRevision}
   * @param from what this node holds
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
   * Tells whether this node owns a key, as far as it knows. The owner of an upstream tells {@link
   * #updateCapacity} of its load and cancels its orphans.
   *
   * @param key names what is owned
   * @return true if this node is the owner
   */
  public boolean owns(String key) {
    HostName host = view.self().id().host();
    return view.ownership().ownerOf(key).filter(host::equals).isPresent();
  }

  /**
   * Takes the load of something leased; ignored unless this node owns it.
   *
   * @param key names what is leased, such as an upstream
   * @param slots how many slots there are
   * @param running how many were in use when the report was made
   */
  public void updateCapacity(String key, int slots, int running) {
    submit(() -> desk.updateCapacity(System.nanoTime(), key, slots, running));
  }

  /**
   * Takes the limits of all workspaces, as configured.
   *
   * @param rates the rate limits by workspace; workspaces that are absent have none
   * @param capacities slots of keys with a fixed number of them, such as concurrency limits
   */
  public void setLimits(Map<WorkspaceName, RateLimit> rates, Map<String, Integer> capacities) {
    Map<String, RateLimit> byName = new HashMap<>();
    rates.forEach((workspace, limit) -> byName.put(workspace.value(), limit));
    submit(() -> desk.setLimits(System.nanoTime(), byName, capacities));
  }

  /**
   * Asks for a slot.
   *
   * @param key names what is leased
   * @param priority greater goes first
   * @param patience how long to wait
   * @return the lease; fails with {@link LarkkeelException} of kind OVERLOADED if none became free
   */
  public CompletableFuture<SlotLease> acquireSlot(String key, int priority, Duration patience) {
    CompletableFuture<SlotLease> result = new CompletableFuture<>();
    SlotLease lease = new SlotLease(key, requestIds.incrementAndGet());
    submitOrFail(
        result,
        () -> {
          long now = System.nanoTime();
          desk.acquireSlot(now, lease, priority, now + patience.toNanos(), result);
        });
    return result;
  }

  /**
   * Gives a slot back. Repeated calls do nothing.
   *
   * @param lease the lease
   */
  public void releaseSlot(SlotLease lease) {
    submit(() -> desk.releaseSlot(System.nanoTime(), lease));
  }

  /**
   * Counts a request against the limits of its workspace.
   *
   * @param workspace the workspace
   * @param promptTokens the prompt tokens of the request
   * @param patience how long to wait
   * @return whether it may run
   */
  public CompletableFuture<LimitDecision> acquireLimit(
      WorkspaceName workspace, long promptTokens, Duration patience) {
    CompletableFuture<LimitDecision> result = new CompletableFuture<>();
    long id = requestIds.incrementAndGet();
    submitOrFail(
        result,
        () -> {
          long now = System.nanoTime();
          long until = now + patience.toNanos();
          desk.acquireLimit(now, workspace.value(), id, promptTokens, until, result);
        });
    return result;
  }

  private void submitOrFail(CompletableFuture<?> result, Runnable command) {
    if (closed || !queue.offer(command)) {
      result.completeExceptionally(
          new LarkkeelException(
              ErrorKind.NOT_READY, closed ? "this node is stopping" : "too many calls wait"));
    }
  }

  /**
   * Claims a run at the owner of its records.
   *
   * @param owner the owner
   * @param claim the claim; may be repeated
   * @return the owner's answer; fails with {@link LarkkeelException}
   */
  public CompletableFuture<WireClaimReply> claimRun(HostName owner, WireRunClaim claim) {
    return atPeer(owner, address -> client.claimRun(address, claim));
  }

  /**
   * Records the end of a run at the owner of its records.
   *
   * @param owner the owner
   * @param end how the run ended; may be repeated
   * @return the owner's answer; fails with {@link LarkkeelException}
   */
  public CompletableFuture<WireRecordAnswer> recordRun(HostName owner, WireRunRecord end) {
    return atPeer(owner, address -> client.recordRun(address, end));
  }

  private <T> CompletableFuture<T> atPeer(
      HostName host, Function<NodeAddress, CompletableFuture<T>> call) {
    return view.members().stream()
        .filter(known -> known.id().host().equals(host) && known.state().isPresent())
        .findFirst()
        .map(member -> call.apply(member.address()))
        .orElseGet(
            () ->
                CompletableFuture.failedFuture(
                    new LarkkeelException(
                        ErrorKind.NOT_READY, "the host " + host + " is not a live peer")));
  }

  private void received(NodeAddress source, Message message) {
    // A full queue drops the datagram, as the network may do as well.
    queue.offer(() -> apply(new Event.Received(System.nanoTime(), source, message)));
  }

  private void submit(Runnable command) {
    if (!queue.offer(command)) {
      LOG.warn("event=peer_command_dropped queued={}", queue.size());
    }
  }

  private void run() {
    while (!closed) {
      try {
        step();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        LOG.error("event=peer_core_failed", e);
      }
    }
  }

  private void step() throws InterruptedException {
    long wait = Math.min(membership.nextDeadline(), desk.nextDeadline()) - System.nanoTime();
    Runnable command = queue.poll(Math.max(0, wait), TimeUnit.NANOSECONDS);
    if (command != null) {
      command.run();
    }
    long now = System.nanoTime();
    if (membership.nextDeadline() - now <= 0) {
      apply(new Event.Tick(now));
    }
    if (desk.nextDeadline() <= now) {
      desk.tick(now).forEach(this::exchange);
    }
    if (viewChanged || nextView - now <= 0) {
      publishView();
      nextView = now + VIEW_PERIOD;
    }
    if (nextIdleCheck - now <= 0) {
      client.closeIdle();
      nextIdleCheck = now + IDLE_PERIOD;
    }
  }

  private void apply(Event event) {
    membership.on(event).forEach(this::execute);
  }

  private void execute(Effect effect) {
    switch (effect) {
      case Effect.Send send -> datagrams.send(send.to(), send.message());
      case Effect.MemberChanged change -> memberChanged(change);
      case Effect.NewerRevision newer -> listener.newerRevision(newer.peer(), newer.revision());
      case Effect.LoadLearned learned -> listener.loadLearned(learned.load());
      case Effect.Superseded superseded -> {
        LOG.error("event=peer_superseded later={}", superseded.later());
        listener.superseded(superseded.later());
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
    long now = System.nanoTime();
    desk.ownersChanged(now, view.owners());
    if (!member.state().isPresent()) {
      desk.nodeGone(now, member.id());
    }
    listener.memberChanged(member, change.leaving());
  }

  private void exchange(HostName peer, Leases batch) {
    Optional<Member> member =
        view.members().stream()
            .filter(known -> known.id().host().equals(peer) && known.state().isPresent())
            .findFirst();
    if (member.isEmpty()) {
      desk.undeliverable(System.nanoTime(), peer, batch);
      return;
    }
    client
        .exchange(member.get().address(), batch.toWire())
        .whenComplete((reply, failure) -> submit(() -> exchanged(peer, batch, reply, failure)));
  }

  private void exchanged(HostName peer, Leases sent, Batch reply, Throwable failure) {
    long now = System.nanoTime();
    if (failure != null) {
      LOG.debug("event=peer_exchange_failed peer={} error=\"{}\"", peer, failure.toString());
      desk.failed(now, peer, sent);
      return;
    }
    try {
      desk.replied(now, peer, sent, Leases.fromWire(reply));
    } catch (IllegalArgumentException e) {
      LOG.warn("event=peer_reply_invalid peer={} error=\"{}\"", peer, e.getMessage());
      desk.failed(now, peer, sent);
    }
  }

  private void publishView() {
    viewChanged = false;
    List<Member> members = membership.members();
    Map<HostName, Revision> revisions = new HashMap<>();
    for (Member member : members) {
      HostName host = member.id().host();
      membership.revisionOf(host).ifPresent(revision -> revisions.put(host, revision));
    }
    Set<HostName> owners = Set.copyOf(membership.owners());
    PeerView before = view;
    boolean sameOwners = before != null && before.owners().equals(owners);
    view =
        new PeerView(
            membership.self(),
            List.copyOf(members),
            owners,
            sameOwners ? before.ownership() : new Ownership(owners),
            Map.copyOf(revisions),
            membership.isJoined());
  }

  /** Answers the calls of peers. */
  private final class Handler implements PeerService.Iface {
    @Override
    public Batch exchange(Batch batch) throws TException {
      Leases received = Leases.fromWire(batch);
      CompletableFuture<Leases> reply = new CompletableFuture<>();
      submitOrFail(reply, () -> reply.complete(desk.received(System.nanoTime(), received)));
      try {
        return reply.get(EXCHANGE_SECONDS, TimeUnit.SECONDS).toWire();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new TException("interrupted", e);
      } catch (ExecutionException | TimeoutException e) {
        throw new TException("the core did not answer", e);
      }
    }

    @Override
    public ConfigPage pullConfig(long fromRevision) {
      ConfigContent content = configuration.after(new Revision(fromRevision));
      ByteBuffer bytes = ByteBuffer.wrap(content.bytes());
      return new ConfigPage(content.revision().value(), bytes, content.more());
    }

    @Override
    public WireClaimReply claimRun(WireRunClaim claim) throws TException {
      return await(runs.claim(claim));
    }

    @Override
    public WireRecordAnswer recordRun(WireRunRecord end) throws TException {
      return await(runs.record(end));
    }

    private static <T> T await(CompletableFuture<T> answer) throws TException {
      try {
        return answer.get(RUN_SECONDS, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new TException("interrupted", e);
      } catch (ExecutionException | TimeoutException e) {
        throw new TException("the run log did not answer", e);
      }
    }
  }

  /** Tells peers that this node stops, and closes its sockets. Repeated calls do nothing. */
  @Override
  public void close() {
    if (closed) {
      return;
    }
    CompletableFuture<Void> said = new CompletableFuture<>();
    submit(
        () -> {
          apply(new Event.Stop(System.nanoTime()));
          desk.close();
          said.complete(null);
        });
    try {
      said.get(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("event=peer_stop_not_told error=\"{}\"", e.toString());
    }
    abort();
  }

  /** Runs what came after the stop, so that no caller waits for ever. */
  private void endQueue() {
    try {
      core.join(TimeUnit.SECONDS.toMillis(1));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (Runnable command = queue.poll(); command != null; command = queue.poll()) {
      command.run();
    }
  }

  /**
   * Closes the sockets without a word to the peers, as a crash would; for tests of failures.
   * Repeated calls do nothing.
   */
  public void abort() {
    closed = true;
    core.interrupt();
    server.close();
    datagrams.close();
    client.close();
  }
}
