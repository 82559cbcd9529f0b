/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;
import org.larkkeel.peer.gen.Batch;
import org.larkkeel.peer.gen.ConfigPage;
import org.larkkeel.peer.gen.PeerService;
import org.larkkeel.peer.membership.Effect;
import org.larkkeel.peer.membership.Event;
import org.larkkeel.peer.membership.HostEntry;
import org.larkkeel.peer.membership.LoadRecord;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.membership.Membership;
import org.larkkeel.peer.membership.Message;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.transport.DatagramCodec;
import org.larkkeel.peer.transport.DatagramTransport;
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
  private static final long VIEW_PERIOD = TimeUnit.MILLISECONDS.toNanos(250);
  private static final long IDLE_PERIOD = TimeUnit.SECONDS.toNanos(1);

  private final PeerListener listener;
  private final ConfigSource configuration;
  private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>(MAX_QUEUED);
  private final PeerServer server;
  private final PeerClient client;
  private final DatagramTransport datagrams;
  private final Membership membership;
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
    Sockets sockets = bind(settings);
    this.server = sockets.server();
    this.datagrams = sockets.datagrams();
    this.client = new PeerClient(settings.transport(), settings.ssl());
    InetSocketAddress bound = new InetSocketAddress(settings.listen().getAddress(), server.port());
    Member self = Member.live(settings.id(), NodeAddress.ofSocket(bound), settings.dataCentre());
    this.membership =
        new Membership(
            settings.membership(), self, settings.seeds(), settings.seed(), System.nanoTime());
    publishView();
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
          PeerServer.open(settings.transport(), settings.listen(), settings.ssl(), new Handler());
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
   * @return the next page; fails with {@link org.larkkeel.errors.LarkkeelException}
   */
  public CompletableFuture<ConfigContent> pullConfig(NodeAddress peer, Revision from) {
    return client
        .pullConfig(peer, from.value())
        .thenApply(
            page ->
                new ConfigContent(
                    new Revision(page.getRevision()), page.getContent(), page.isMore()));
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
    long wait = membership.nextDeadline() - System.nanoTime();
    Runnable command = queue.poll(Math.max(0, wait), TimeUnit.NANOSECONDS);
    if (command != null) {
      command.run();
    }
    long now = System.nanoTime();
    if (membership.nextDeadline() - now <= 0) {
      apply(new Event.Tick(now));
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
    listener.memberChanged(member, change.leaving());
  }

  private void publishView() {
    viewChanged = false;
    List<Member> members = membership.members();
    Map<HostName, Revision> revisions = new HashMap<>();
    for (Member member : members) {
      HostName host = member.id().host();
      membership.revisionOf(host).ifPresent(revision -> revisions.put(host, revision));
    }
    view =
        new PeerView(
            membership.self(),
            List.copyOf(members),
            Set.copyOf(membership.owners()),
            Map.copyOf(revisions),
            membership.isJoined());
  }

  /** Answers the calls of peers. */
  private final class Handler implements PeerService.Iface {
    @Override
    public Batch exchange(Batch batch) {
      return new Batch();
    }

    @Override
    public ConfigPage pullConfig(long fromRevision) {
      ConfigContent content = configuration.after(new Revision(fromRevision));
      ByteBuffer bytes = ByteBuffer.wrap(content.bytes());
      return new ConfigPage(content.revision().value(), bytes, content.more());
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
          said.complete(null);
        });
    try {
      said.get(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ExecutionException | TimeoutException e) {
      LOG.warn("event=peer_stop_not_told error=\"{}\"", e.toString());
    }
    closed = true;
    core.interrupt();
    server.close();
    datagrams.close();
    client.close();
  }
}
