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
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.quota.QuotaMessage;
import org.larkkeel.relay.RateLimitReport;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.ReservationMode;
import org.larkkeel.relay.ReservationRequest;
import org.larkkeel.relay.SuspectRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

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
  private static final Logger log = LoggerFactory.getLogger(LoadSharing.class);
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** The interval between two calls of {@link #periodic}. */
  public static final long PERIOD_NANOS = 400 * NANOS_PER_MILLI;

  private static final long MIN_INTERVAL_NANOS = 3 * NANOS_PER_MILLI;
  private static final long MIN_REPORT_INTERVAL_NANOS = NANOS_PER_MILLI;

  /**
   * The maximum delay of a small change, so that several are reported to the coordinator together.
   */
  private static final long SMALL_CHANGE_DELAY_NANOS = 40 * NANOS_PER_MILLI;

  /**
   * The minimum interval between two load reports, for each node that receives them: what a node
   * spends on sending reports must not grow with the square of the cluster size.
   */
  private static final long MIN_INTERVAL_PER_PEER_NANOS = NANOS_PER_MILLI / 2;

  /** The minimum interval between two presence messages, for each node that receives them. */
  private static final long PRESENCE_PER_PEER_NANOS = 100 * NANOS_PER_MILLI;

  private static final int INACTIVITY_PERIODS = 4;
  private static final long NEWLY_STARTED_NANOS = 2_000 * NANOS_PER_MILLI;
  private static final int MAX_COORDINATORS = 2;

  /**
   * The time for which a node reserves locally after two coordinators in a row have not answered.
   */
  private static final long LOCAL_MODE_NANOS = 1_000 * NANOS_PER_MILLI;

  private final HostName self;
  private final DataCentreName dataCentre;
  private final int coordinatorFrom;
  private final Environment environment;
  private final PeerTable peers;
  private final ReservationClient client;
  private final ReservationServer server;
  private final SuspectSharing suspects;
  private final QuotaSharing quotas;
  private final LoadChange loadChange = new LoadChange();
  private long startedNanos;
  private ImmutableList<PeerTable.Coordinator> coordinators = ImmutableList.of();

  /** The total load of the other nodes, as reported by the coordinator. */
  private final Map<UpstreamIncarnation, Long> totalLoads = new HashMap<>();

  /** The node that sent the last complete report of total loads; empty before the first. */
  private Optional<HostName> totalLoadsSource = Optional.empty();

  /**
   * The nodes that receive load reports: the coordinators, and those that would be coordinators if
   * they were not suspect.
   */
  private ImmutableSet<PeerTable.Peer> reportReceivers = ImmutableSet.of();

  private ReservationMode reservationMode = ReservationMode.EACH;
  private boolean largeCluster;
  private boolean leaving;
  private boolean reportScheduled;
  private boolean smallReportScheduled;
  private long lastReportNanos;
  private long lastPresenceNanos;
  private long lastFailureNanos = Long.MIN_VALUE;
  private long localModeUntilNanos = Long.MIN_VALUE;
  private Supplier<FeedChanges> storeVersions = () -> FeedChanges.NONE;
  private Supplier<ImmutableList<RateLimitReport>> rateLimits = ImmutableList::of;
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
    this.dataCentre = dataCentre;
    this.coordinatorFrom = coordinatorFrom;
    this.environment = environment;
    this.peers = new PeerTable(self);
    this.startedNanos = environment.now();
    LongSupplier clock = environment::now;
    this.client =
        new ReservationClient(clock, environment::after, this::report, this::coordinatorFailed);
    this.server = new ReservationServer(clock, this::sendAnswer);
    this.suspects = new SuspectSharing(self, peers, environment, this::sendSuspects);
    this.quotas = new QuotaSharing(self, peers, environment, new QuotaChannel());
  }

  /**
   * Sets the source of this node's newest store versions and the listener for those of the peers.
   */
  void storeVersions(Supplier<FeedChanges> ownVersions, Consumer<FeedChanges> listener) {
    storeVersions = ownVersions;
    peerVersionsListener = listener;
  }

  /** Sets the source of the suspect requests that are known here. */
  public void suspects(Supplier<ImmutableList<SuspectRequest>> known) {
    suspects.knownSuspects(known);
  }

  /** Sets the router whose quotas and rate limits of upstreams are shared with the peers. */
  public void quotas(RelayRouter router) {
    rateLimits = () -> router.rateLimitReports(environment.now());
    quotas.router(router);
  }

  /** Sends quota messages to peers. */
  private final class QuotaChannel implements QuotaSharing.Channel {
    @Override
    public void send(PeerTable.Peer to, QuotaMessage message) {
      LoadSharing.this.send(to, message(PeerMessage.Kind.QUOTA).withQuota(message));
    }

    @Override
    public NodeState state() {
      return LoadSharing.this.state();
    }
  }

  /** Reports news of a suspect request to the peers. */
  public void reportSuspect(RelayEffect.ReportSuspect news) {
    suspects.report(news.suspect());
  }

  private void sendSuspects(PeerTable.Peer to, ImmutableList<SuspectRequest> batch) {
    send(to, message(PeerMessage.Kind.SUSPECTS).withSuspects(batch));
  }

  /** Adds a registered node as a peer and announces this node to it. */
  public void addPeer(InetSocketAddress address) {
    PeerTable.Peer peer = peerAt(address);
    if (!peer.hasReported()) {
      send(peer, message(PeerMessage.Kind.PRESENCE));
    }
  }

  private PeerTable.Peer peerAt(InetSocketAddress address) {
    int previousSize = peers.size();
    PeerTable.Peer peer = peers.getOrAdd(address, environment.now());
    if (peers.size() > previousSize) {
      environment.submit(new RelayEvent.NodesCounted(environment.now(), peers.size() + 1));
    }
    return peer;
  }

  /** Returns the addresses of the live peers. */
  List<InetSocketAddress> livePeers() {
    return peers.liveAddresses();
  }

  /** Returns the number of live peers whose names sort before that of this node. */
  int rank() {
    return peers.rank();
  }

  /** Returns the current reservation mode. */
  public ReservationMode reservationMode() {
    return reservationMode;
  }

  /**
   * Restarts load sharing after the machine was suspended. The peers have continued without this
   * node, so it behaves like a newly started one: it receives their state again and is not chosen
   * as coordinator for a while. The inactivity period of all peers is restarted, because it was
   * this node that received nothing.
   */
  public void resumed() {
    startedNanos = environment.now();
    peers.resetInactivity(startedNanos);
    quotas.discardState();
    sendToAll(message(PeerMessage.Kind.PRESENCE));
    chooseCoordinators();
  }

  /**
   * Announces that this node is stopping: it stops acting as coordinator, and no peer relies on it.
   */
  public void leave() {
    leaving = true;
    sendToAll(message(PeerMessage.Kind.PRESENCE));
    chooseCoordinators();
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
    boolean isUrgent = loadChange.update(loads, losingHandles);
    isUrgent |= client.updateRequests(requests);
    server.ownLoads(loads);
    server.sendGrants();
    quotas.requestNeeded();
    if (largeCluster && loadChange.hasChanged() && !smallReportScheduled) {
      smallReportScheduled = true;
      environment.after(SMALL_CHANGE_DELAY_NANOS, this::reportSmallChange);
    }
    if (reportScheduled || !isUrgent) {
      return;
    }
    long delayNanos = lastReportNanos + minIntervalNanos() - environment.now();
    if (delayNanos <= 0) {
      sendLoad();
    } else {
      reportScheduled = true;
      environment.after(delayNanos, this::sendScheduledReport);
    }
  }

  private long minIntervalNanos() {
    return largeCluster
        ? MIN_REPORT_INTERVAL_NANOS
        : Math.max(MIN_INTERVAL_NANOS, peers.size() * MIN_INTERVAL_PER_PEER_NANOS);
  }

  /** Reports small changes, which were held back, to the coordinator. */
  private void reportSmallChange() {
    smallReportScheduled = false;
    if (largeCluster && loadChange.hasChanged()) {
      reportTo(reportReceivers.stream().filter(client::requests).toList());
    }
  }

  private void sendScheduledReport() {
    reportScheduled = false;
    sendLoad();
  }

  private void sendLoad() {
    if (largeCluster) {
      report();
    } else {
      lastReportNanos = environment.now();
      sendToAll(loadMessage(PeerMessage.Kind.LOADS));
      loadChange.reported();
    }
  }

  private PeerMessage message(PeerMessage.Kind kind) {
    return PeerMessage.of(
        kind,
        new PeerMessage.Sender(self, dataCentre, state(), storeVersions.get(), rateLimits.get()));
  }

  private PeerMessage loadMessage(PeerMessage.Kind kind) {
    return message(kind).withLoads(loadChange.loads(), loadChange.losingHandles());
  }

  private NodeState state() {
    if (leaving) {
      return NodeState.LEAVING;
    }
    return environment.now() - startedNanos < NEWLY_STARTED_NANOS
        ? NodeState.YOUNG
        : NodeState.STEADY;
  }

  /**
   * Reports the load to the coordinator and its standby; pending reservations go to the coordinator
   * only.
   */
  private void report() {
    lastReportNanos = environment.now();
    reportTo(reportReceivers);
  }

  private void reportTo(Collection<PeerTable.Peer> receivers) {
    PeerMessage report = loadMessage(PeerMessage.Kind.REPORT);
    for (PeerTable.Peer p : receivers) {
      send(p, client.requests(p) ? report.withRequests(client.requests()) : report);
    }
    loadChange.reported();
    client.reported();
  }

  private void sendToAll(PeerMessage message) {
    byte[] bytes = PeerMessageCodec.toBytes(message);
    peers.all().forEach(p -> send(p, bytes));
  }

  private void send(PeerTable.Peer to, PeerMessage message) {
    send(to, PeerMessageCodec.toBytes(message));
  }

  private void send(PeerTable.Peer to, byte[] bytes) {
    if (bytes.length <= PeerMessageCodec.MAX_BYTES) {
      environment.send(to.address, bytes);
    }
  }

  /** Adds a grant for a call of another node, which is sent with the next {@link #update}. */
  public void grant(RelayEffect.GrantReservation grant) {
    server.grant(grant);
  }

  private void sendAnswer(HostName to, ReservationServer.Answer answer) {
    peers.find(to).ifPresent(p -> send(p, toMessage(answer)));
  }

  private PeerMessage toMessage(ReservationServer.Answer answer) {
    return switch (answer) {
      case ReservationServer.Answer.TotalLoads s ->
          message(s.isComplete() ? PeerMessage.Kind.SUMS : PeerMessage.Kind.CHANGED_SUMS)
              .withLoads(s.loads(), s.losingHandles());
      case ReservationServer.Answer.Grants g ->
          message(PeerMessage.Kind.GRANTS).withGrants(g.grants());
    };
  }

  /** Does the periodic work; to be called every {@link #PERIOD_NANOS}. */
  public void periodic() {
    long nowNanos = environment.now();
    suspects.periodic();
    quotas.periodic();
    peers.checkInactivity(
        nowNanos,
        INACTIVITY_PERIODS * Math.max(PERIOD_NANOS, largeCluster ? presencePeriodNanos() : 0));
    updateClusterSize();
    chooseCoordinators();
    if (!largeCluster) {
      if (nowNanos - lastReportNanos >= PERIOD_NANOS) {
        sendLoad();
      }
      return;
    }
    if (nowNanos - lastPresenceNanos >= presencePeriodNanos()) {
      lastPresenceNanos = nowNanos;
      sendToAll(message(PeerMessage.Kind.PRESENCE));
    }
    client.checkCoordinator();
    report();
  }

  private long presencePeriodNanos() {
    return Math.max(PERIOD_NANOS, peers.size() * PRESENCE_PER_PEER_NANOS);
  }

  /** Switches between the protocols for small and large clusters. */
  private void updateClusterSize() {
    boolean isLarge = peers.size() + 1 >= coordinatorFrom;
    if (isLarge == largeCluster) {
      return;
    }
    largeCluster = isLarge;
    log.info("event=load_sharing large={} peers={}", largeCluster, peers.size());
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

  /** Chooses the coordinator and the reservation mode from the live peers. */
  private void chooseCoordinators() {
    final ImmutableList<PeerTable.Coordinator> previous = coordinators;
    boolean isLocal = !largeCluster || environment.now() < localModeUntilNanos;
    coordinators =
        isLocal ? ImmutableList.of() : peers.coordinators(state(), MAX_COORDINATORS, false);
    reportReceivers = reportReceivers();
    Optional<PeerTable.Peer> coordinator =
        coordinators.stream().findFirst().flatMap(PeerTable.Coordinator::peer);
    ReservationMode newMode = ReservationMode.EACH;
    if (!coordinators.isEmpty()) {
      newMode = coordinator.isPresent() ? ReservationMode.ASK : ReservationMode.KEEP;
    }
    client.setCoordinator(coordinator);
    if (!firstName(previous).equals(firstName(coordinators))) {
      firstName(previous).filter(n -> !n.equals(self)).ifPresent(this::clearLoad);
      log.info(
          "event=room_keeper keeping={} keeper={} stands_by={}",
          newMode,
          firstName(coordinators).map(HostName::value).orElse(""),
          coordinators.size() < MAX_COORDINATORS ? "" : coordinators.get(1).name());
    }
    if (newMode != reservationMode) {
      reservationMode = newMode;
      if (newMode == ReservationMode.KEEP) {
        environment.after(ReservationServer.TOTALS_NANOS, this::sendTotalLoads);
      }
      environment.submit(new RelayEvent.KeepingChanged(environment.now(), newMode));
    }
    if (!previous.equals(coordinators)) {
      report();
    }
  }

  private void sendTotalLoads() {
    if (reservationMode == ReservationMode.KEEP) {
      server.sendTotalLoads();
      environment.after(ReservationServer.TOTALS_NANOS, this::sendTotalLoads);
    }
  }

  private ImmutableSet<PeerTable.Peer> reportReceivers() {
    if (!largeCluster) {
      return ImmutableSet.of();
    }
    return Stream.concat(
            coordinators.stream(), peers.coordinators(state(), MAX_COORDINATORS, true).stream())
        .flatMap(k -> k.peer().stream())
        .collect(ImmutableSet.toImmutableSet());
  }

  private static Optional<HostName> firstName(ImmutableList<PeerTable.Coordinator> nodes) {
    return nodes.stream().findFirst().map(PeerTable.Coordinator::name);
  }

  private void coordinatorFailed(PeerTable.Peer coordinator, String cause) {
    long nowNanos = environment.now();
    peers.suspect(coordinator, cause);
    if (lastFailureNanos != Long.MIN_VALUE && nowNanos - lastFailureNanos < LOCAL_MODE_NANOS) {
      localModeUntilNanos = nowNanos + LOCAL_MODE_NANOS;
      environment.after(LOCAL_MODE_NANOS, this::chooseCoordinators);
    }
    lastFailureNanos = nowNanos;
    chooseCoordinators();
  }

  /**
   * Suspects the coordinator if this node is the standby and peers send requests here: the
   * coordinator does not answer them.
   */
  private void requestedFromStandby() {
    if (coordinators.size() > 1 && coordinators.get(1).peer().isEmpty()) {
      coordinators.getFirst().peer().ifPresent(p -> peers.suspect(p, "others_ask_here"));
      chooseCoordinators();
    }
  }

  /** Handles a datagram from a peer; datagrams that are no valid messages are ignored. */
  public void received(InetSocketAddress from, byte[] bytes) {
    PeerMessageCodec.fromBytes(bytes)
        .filter(m -> !m.sender().node().equals(self))
        .ifPresent(m -> received(peerAt(from), m));
  }

  private void received(PeerTable.Peer from, PeerMessage message) {
    final boolean stateChanged = !from.hasReported() || from.state != message.sender().state();
    peers.received(from, message.sender(), environment.now());
    peerVersionsListener.accept(message.sender().changes());
    if (!message.sender().rateLimits().isEmpty()) {
      environment.submit(
          new RelayEvent.RatesHeard(environment.now(), message.sender().rateLimits()));
    }
    if (largeCluster && stateChanged) {
      chooseCoordinators();
    }
    switch (message.kind()) {
      case LOADS -> receivedLoads(message);
      case REPORT -> receivedReport(from, message);
      case SUMS, CHANGED_SUMS -> totalLoads(from, message);
      case GRANTS -> receivedGrants(from, message);
      case PRESENCE -> receivedPresence(from, message);
      case SUSPECTS -> {
        environment.submit(new RelayEvent.SuspectsHeard(environment.now(), message.suspects()));
        suspects.received(message.suspects());
      }
      case QUOTA -> message.quota().ifPresent(m -> quotas.received(from, m));
      default -> throw new IllegalStateException("unknown kind of message: " + message.kind());
    }
  }

  private void receivedLoads(PeerMessage m) {
    if (!largeCluster || server.hasReports()) {
      submitLoad(m);
    }
  }

  private void submitLoad(PeerMessage m) {
    environment.submit(
        new RelayEvent.LoadHeard(
            environment.now(), m.sender().node(), m.loads(), m.losingHandles()));
  }

  private void receivedReport(PeerTable.Peer from, PeerMessage m) {
    server.received(m);
    submitLoad(m);
    if (!m.requests().isEmpty() && reservationMode == ReservationMode.ASK) {
      requestedFromStandby();
    }
    if (reservationMode != ReservationMode.KEEP) {
      return;
    }
    PeerMessage.Sender s = m.sender();
    if (!m.requests().isEmpty()) {
      server.acknowledge(s.node());
    }
    environment.submit(
        new RelayEvent.RoomAsked(environment.now(), s.node(), s.dataCentre(), m.requests()));
  }

  private void totalLoads(PeerTable.Peer from, PeerMessage m) {
    if (!client.received(from) || server.hasReports()) {
      return;
    }
    if (m.kind() == PeerMessage.Kind.SUMS) {
      totalLoads.clear();
      totalLoadsSource = Optional.of(m.sender().node());
    } else if (!totalLoadsSource.equals(Optional.of(m.sender().node()))) {
      return;
    }
    m.loads().forEach(this::setTotalLoad);
    environment.submit(
        new RelayEvent.LoadHeard(
            environment.now(),
            m.sender().node(),
            ImmutableMap.copyOf(totalLoads),
            m.losingHandles()));
  }

  private void setTotalLoad(UpstreamIncarnation incarnation, long units) {
    if (units == 0) {
      totalLoads.remove(incarnation);
    } else {
      totalLoads.put(incarnation, units);
    }
  }

  private void receivedGrants(PeerTable.Peer from, PeerMessage m) {
    client.received(from);
    for (ReservationGrant grant : m.grants()) {
      environment.submit(
          new RelayEvent.RoomGranted(
              environment.now(), grant.call(), grant.reservedUpstream(), grant.prefillUpstream()));
    }
  }

  /** Answers a newly started peer, so that it quickly learns which nodes are live. */
  private void receivedPresence(PeerTable.Peer from, PeerMessage m) {
    if (m.sender().state() == NodeState.YOUNG) {
      send(from, loadMessage(PeerMessage.Kind.LOADS));
      suspects.sendAllTo(from);
    }
  }
}
