/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.relay.CrashSuspect;
import org.larkkeel.relay.NodeReport;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayFact;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.ReservationMode;
import org.larkkeel.relay.ReservationRequest;
import org.larkkeel.relay.ServiceName;
import org.larkkeel.relay.StreamBuild;

/**
 * Exchanges load reports with the peers and chooses the reservation coordinator.
 *
 * <p>In a small cluster each node reports its load to all others and makes reservations locally. In
 * a large cluster that would cost more than the work itself: there each node reports to the first
 * two nodes by name. The first of them is the coordinator, which grants reservations to the calls
 * of all nodes; the second is its standby. There is no agreement protocol and no stored state: all
 * reports are repeated periodically, so that a lost message or node has no lasting effect. Not
 * thread-safe.
 *
 * @since 0.1
 */
public final class LoadSharing {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The interval between two calls of {@link #periodic}. */
  public static final long PERIOD_NANOS = 400 * NANOS_PER_MILLI;

  /**
   * The time by which the first presence message of a live peer may be later than its period: the
   * period begins up to 400 ms after the start and ends up to 400 ms late.
   */
  private static final long PRESENCE_MARGIN_NANOS = 3 * PERIOD_NANOS;

  private static final int INACTIVITY_PERIODS = 4;

  private final HostName self;
  private final Environment environment;
  private final PeerTable peers;
  private final PeerMessenger messenger;
  private final Announcements announcements;
  private final SpeedSharing speeds;
  private final CoordinatorChoice choice;
  private final LoadReporter reporter;
  private final ReservationClient client;
  private final ReservationServer server;
  private final SuspectSharing suspects;
  private final QuotaSharing quotas;
  private final StreamSharing streams;
  private final List<PeerMessage> pendingReports = new ArrayList<>();
  private final ReceivedTotals receivedTotals = new ReceivedTotals();
  private Consumer<FeedChanges> peerVersionsListener = c -> {};

  /** The callbacks that load sharing needs from its owner. */
  public interface Environment {
    /** Sends a datagram to a peer; it may be lost. */
    void send(InetSocketAddress to, byte[] message);

    /** Schedules an action after a delay in nanoseconds. */
    void after(long nanos, Runnable action);

    /** Applies an event to the router and carries out its effects. */
    void submit(RelayEvent event);

    /** Returns the time of events, in nanoseconds. */
    long now();

    /** Logs and counts a fact. */
    default void report(RelayFact fact) {}
  }

  /**
   * Creates load sharing without any peers.
   *
   * @param self the name of this node
   * @param dataCentre the data centre of this node
   * @param coordinatorFrom the minimum number of nodes from which a coordinator grants reservations
   * @param environment the callbacks into the owner
   */
  public LoadSharing(
      HostName self, DataCentreName dataCentre, int coordinatorFrom, Environment environment) {
    this.self = self;
    this.environment = environment;
    this.peers = new PeerTable(self);
    this.speeds = new SpeedSharing(environment);
    this.messenger = new PeerMessenger(self, dataCentre, peers, environment, speeds);
    this.announcements = new Announcements(peers, messenger);
    LongSupplier clock = environment::now;
    this.choice =
        new CoordinatorChoice(
            self, coordinatorFrom, peers, messenger::state, environment, new ChoiceListener());
    this.client =
        new ReservationClient(clock, environment::after, this::report, new CoordinatorListener());
    this.reporter = new LoadReporter(peers, messenger, choice, client, environment, speeds);
    this.server = new ReservationServer(clock, this::sendAnswer);
    this.suspects = new SuspectSharing(self, peers, environment, messenger::sendSuspects);
    this.quotas = new QuotaSharing(self, peers, environment, messenger);
    this.streams = new StreamSharing(peers, environment, messenger::sendStream);
  }

  /** Passes the choice of the coordinator on to the parts that depend on it. */
  private final class ChoiceListener implements CoordinatorChoice.Listener {
    @Override
    public void chosen(Optional<PeerTable.Peer> coordinator) {
      client.setCoordinator(coordinator);
    }

    @Override
    public void becameCoordinator() {
      environment.after(ReservationServer.TOTALS_NANOS, LoadSharing.this::sendTotalLoads);
    }

    @Override
    public void coordinatorRetired(HostName node) {
      clearLoad(node);
    }

    @Override
    public void coordinatorsChanged() {
      report();
    }
  }

  /** Handles the answers and the failure of the coordinator. */
  private final class CoordinatorListener implements ReservationClient.Listener {
    @Override
    public void coordinatorFailed(PeerTable.Peer peer, ReservationClient.Failure failure) {
      choice.coordinatorFailed(peer, failure);
    }

    @Override
    public void answered(PeerTable.Peer peer, long nanos) {
      environment.report(new RelayFact.CoordinatorAnswered(nanos));
    }
  }

  private void report() {
    reporter.report();
  }

  /**
   * Sets the source of this node's newest store versions and the listener for those of the peers.
   */
  void storeVersions(Supplier<FeedChanges> ownVersions, Consumer<FeedChanges> listener) {
    messenger.storeVersions(ownVersions);
    peerVersionsListener = listener;
  }

  /** Sets the source of the suspects of crashes that are known here. */
  public void suspects(Supplier<ImmutableList<CrashSuspect>> known) {
    suspects.knownSuspects(known);
  }

  /**
   * Sets the router whose quotas, rate limits of upstreams, speeds of engines, forecasts and builds
   * of streams are shared with the peers.
   */
  public void quotas(RelayRouter router) {
    messenger.rateLimits(() -> router.rateLimitReports(environment.now()));
    reporter.notEligible(service -> router.notEligibleUpstreams(environment.now(), service));
    quotas.router(router);
    streams.router(router);
    server.forecasts(() -> router.forecastServices(environment.now()));
    speeds.router(router);
  }

  /** Sets the source of the upstreams of a service that this node would not choose for any call. */
  void notEligible(Function<ServiceName, ImmutableSet<UpstreamIncarnation>> source) {
    reporter.notEligible(source);
  }

  /** Reports news of suspects of crashes to the peers. */
  public void reportSuspects(RelayEffect.ReportSuspects news) {
    suspects.report(news.suspects());
  }

  /** Sets what writes the builds of streams to the store. */
  public void streamStorage(Consumer<StreamBuild> writer) {
    streams.storage(writer);
  }

  /** Records or finds the build of a stream at other nodes. */
  public void execute(RelayEffect.OfStream effect) {
    streams.execute(effect);
  }

  /** Adds a node of unknown name as a peer and announces this node to it. */
  public void addPeer(InetSocketAddress address) {
    announcements.announceToUnheard(ImmutableList.of(peerAt(address)));
  }

  /** Adds registered nodes as peers and announces this node to them. */
  void addRegistered(Collection<RegisteredNode> nodes) {
    int previousSize = peers.size();
    List<PeerTable.Peer> added = new ArrayList<>();
    for (RegisteredNode node : nodes) {
      PeerTable.Peer peer = peers.getOrAdd(node.address(), environment.now());
      node.name().ifPresent(name -> peers.registered(peer, name));
      added.add(peer);
    }
    reportSize(previousSize);
    peers.setListed();
    environment.submit(new RelayEvent.NodesListed(environment.now()));
    announcements.announceToUnheard(added);
  }

  private PeerTable.Peer peerAt(InetSocketAddress address) {
    int previousSize = peers.size();
    PeerTable.Peer peer = peers.getOrAdd(address, environment.now());
    reportSize(previousSize);
    return peer;
  }

  private void reportSize(int previousSize) {
    if (peers.size() > previousSize) {
      environment.submit(new RelayEvent.NodesCounted(environment.now(), peers.size() + 1));
    }
  }

  /** Returns the addresses of the live peers. */
  List<InetSocketAddress> livePeers() {
    return peers.liveAddresses();
  }

  /** Returns the addresses of the peers that may offer tunnels. */
  ImmutableList<InetSocketAddress> tunnelPeers() {
    return peers.tunnelPeers();
  }

  /** Returns the number of live peers whose names sort before that of this node. */
  int rank() {
    return peers.rank();
  }

  /** Returns the current reservation mode. */
  public ReservationMode reservationMode() {
    return choice.reservationMode();
  }

  /**
   * Restarts load sharing after the machine was suspended. The peers have continued without this
   * node, so it behaves like a newly started one: it receives their state again and is not chosen
   * as coordinator for a while. The inactivity period of all peers is restarted, because it was
   * this node that received nothing.
   */
  public void resumed() {
    long nowNanos = environment.now();
    messenger.restarted(nowNanos);
    peers.resetInactivity(nowNanos);
    quotas.discardState();
    announcements.announceToAll();
    choice.choose();
  }

  /**
   * Announces that this node is stopping: it stops acting as coordinator, and no peer relies on it.
   */
  public void leave() {
    messenger.leave();
    announcements.announceToAll();
    choice.choose();
  }

  /**
   * Updates the load and the pending reservations of this node and reports them, now or after a
   * short delay.
   *
   * @param loads the load of this node at each upstream
   * @param losingHandles the upstreams at which this node recently observed that prefill handles
   *     are lost immediately
   * @param requests the pending reservations
   */
  public void update(
      ImmutableMap<UpstreamIncarnation, Long> loads,
      ImmutableSet<UpstreamIncarnation> losingHandles,
      ImmutableList<ReservationRequest> requests) {
    final boolean isLoadUrgent = reporter.update(loads, losingHandles);
    final ReservationClient.Change requestChange = client.updateRequests(requests);
    server.ownLoads(loads);
    server.sendGrants();
    quotas.requestNeeded();
    reporter.reportChange(isLoadUrgent, requestChange);
  }

  /**
   * Adds the answer to a reservation request of another node, which is sent with the next {@link
   * #update}.
   */
  public void answer(RelayEffect.ReservationAnswer answer) {
    server.answer(answer);
  }

  private void sendAnswer(HostName to, ReservationServer.Answer answer) {
    messenger.sendAnswer(to, answer, server.answerTo(to));
  }

  /** Does the periodic work; to be called every {@link #PERIOD_NANOS}. */
  public void periodic() {
    long nowNanos = environment.now();
    suspects.periodic();
    quotas.periodic();
    long reportPeriodNanos = choice.isLargeCluster() ? announcements.periodNanos() : PERIOD_NANOS;
    peers.checkInactivity(
        nowNanos,
        INACTIVITY_PERIODS * reportPeriodNanos,
        reportPeriodNanos + PRESENCE_MARGIN_NANOS);
    if (choice.updateClusterSize()) {
      clearLoads();
    }
    choice.choose();
    if (choice.isLargeCluster()) {
      announcements.periodic(nowNanos);
      client.checkCoordinator();
    }
    reporter.periodic();
  }

  private void clearLoads() {
    for (PeerTable.Peer p : peers.all()) {
      if (p.hasReported()) {
        clearLoad(p.name);
      }
    }
  }

  private void clearLoad(HostName node) {
    environment.submit(
        new RelayEvent.LoadHeard(environment.now(), node, ImmutableMap.of(), ImmutableSet.of()));
  }

  private void sendTotalLoads() {
    if (choice.reservationMode() == ReservationMode.KEEP) {
      server.sendTotalLoads();
      environment.after(ReservationServer.TOTALS_NANOS, this::sendTotalLoads);
    }
  }

  /** Handles a datagram from a peer; datagrams that are no valid messages are ignored. */
  public void received(InetSocketAddress from, byte[] bytes) {
    received(from, bytes, bytes.length);
    submitReports();
  }

  /**
   * Handles a datagram from a peer as {@link #received(InetSocketAddress, byte[])} does, but holds
   * reports back until {@link #submitReports}.
   *
   * @param buffer holds the datagram from its beginning; it is not kept
   * @param length the length of the datagram in bytes
   */
  void received(InetSocketAddress from, byte[] buffer, int length) {
    PeerMessageCodec.fromBytes(buffer, length)
        .filter(m -> !m.sender().node().equals(self))
        .ifPresent(m -> received(peerAt(from), m));
  }

  private void received(PeerTable.Peer from, PeerMessage message) {
    final boolean isFirst = !from.hasReported();
    final boolean stateChanged = isFirst || from.state != message.sender().state();
    peers.received(from, message.sender(), environment.now());
    peerVersionsListener.accept(message.sender().changes());
    if (!message.sender().rateLimits().isEmpty()) {
      environment.submit(
          new RelayEvent.RatesHeard(environment.now(), message.sender().rateLimits()));
    }
    if (choice.isLargeCluster() && stateChanged) {
      choice.choose();
    }
    switch (message.kind()) {
      case LOADS -> receivedLoads(message);
      case REPORT -> receivedReport(message);
      case SUMS, CHANGED_SUMS -> totalLoads(from, message);
      case GRANTS -> receivedGrants(from, message);
      case PRESENCE -> receivedPresence(from, message, isFirst);
      case SUSPECTS -> {
        environment.submit(new RelayEvent.SuspectsHeard(environment.now(), message.suspects()));
        suspects.received(from, message.suspects());
      }
      case STREAM -> StreamMessage.read(message).ifPresent(m -> streams.received(from, m));
      case QUOTA -> message.quota().ifPresent(m -> quotas.received(from, m));
      default -> throw new IllegalStateException("unknown kind of message: " + message.kind());
    }
  }

  private void receivedLoads(PeerMessage m) {
    if (!choice.isLargeCluster() || server.hasReports()) {
      submitLoad(m);
    }
  }

  private void submitLoad(PeerMessage m) {
    environment.submit(
        new RelayEvent.LoadHeard(
            environment.now(), m.sender().node(), m.loads(), m.losingHandles()));
  }

  private void receivedReport(PeerMessage m) {
    server.received(m);
    speeds.reportReceived(m);
    if (!m.requests().isEmpty() && choice.reservationMode() == ReservationMode.ASK) {
      choice.requestedFromStandby();
    }
    pendingReports.add(m);
  }

  /**
   * Submits the reports that were received since the last call, together, so that the coordinator
   * goes over the waiting calls once for all of them. To be called after the messages that have
   * arrived together.
   */
  void submitReports() {
    if (pendingReports.isEmpty()) {
      return;
    }
    ImmutableList<NodeReport> reports =
        pendingReports.stream().map(this::nodeReport).collect(ImmutableList.toImmutableList());
    pendingReports.clear();
    environment.submit(new RelayEvent.ReportsHeard(environment.now(), reports));
  }

  private NodeReport nodeReport(PeerMessage m) {
    PeerMessage.Sender s = m.sender();
    boolean grants = choice.reservationMode() == ReservationMode.KEEP;
    if (grants && !m.requests().isEmpty()) {
      server.acknowledge(s.node());
    }
    return new NodeReport(
        s.node(),
        s.dataCentre(),
        m.loads(),
        m.losingHandles(),
        grants ? Optional.of(NotEligibleCodec.requests(m)) : Optional.empty());
  }

  private void totalLoads(PeerTable.Peer from, PeerMessage m) {
    if (!receivedAnswer(from, m) || server.hasReports()) {
      return;
    }
    if (receivedTotals.apply(m) == ReceivedTotals.Result.UNKNOWN_SOURCE) {
      return;
    }
    environment.submit(
        new RelayEvent.LoadHeard(
            environment.now(), m.sender().node(), receivedTotals.totals(), m.losingHandles()));
    if (m.kind() == PeerMessage.Kind.SUMS) {
      speeds.totalsReceived(m);
    }
  }

  /** Records a message of a coordinator; returns whether this node requests reservations there. */
  private boolean receivedAnswer(PeerTable.Peer from, PeerMessage m) {
    return client.received(from, ReportNumberCodec.read(m));
  }

  private void receivedGrants(PeerTable.Peer from, PeerMessage m) {
    receivedAnswer(from, m);
    for (ReservationGrant grant : m.grants()) {
      client.granted(grant.call());
      environment.submit(
          new RelayEvent.RoomGranted(
              environment.now(), grant.call(), grant.reservedUpstream(), grant.prefillUpstream()));
    }
    m.extensions()
        .parse(ExtensionId.FORECASTS, ForecastsCodec::fromBytes)
        .ifPresent(
            services ->
                environment.submit(new RelayEvent.ForecastsHeard(environment.now(), services)));
    m.extensions()
        .parse(ExtensionId.REJECTIONS, RejectionsCodec::fromBytes)
        .ifPresent(rejections -> rejections.forEach(this::rejected));
  }

  private void rejected(ReservationRejection rejection) {
    environment.submit(
        new RelayEvent.RoomRejected(
            environment.now(), rejection.call(), rejection.retryAfterMillis()));
  }

  /**
   * Answers a newly started peer, so that it quickly learns which nodes are live. In a large
   * cluster a peer that is heard for the first time counts as new: it may have learned of this node
   * only from the registry.
   */
  private void receivedPresence(PeerTable.Peer from, PeerMessage m, boolean isFirst) {
    boolean isLarge = choice.hasLargeSize();
    boolean isNew = m.sender().state() == NodeState.YOUNG || (isLarge && isFirst);
    if (isNew && (!isLarge || announcements.answersNewNodes())) {
      reporter.sendTo(from);
      from.announced = true;
      suspects.sendAllTo(from);
    }
  }
}
