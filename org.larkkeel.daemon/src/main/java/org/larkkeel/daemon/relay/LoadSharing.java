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
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.quota.QuotaMessage;
import org.larkkeel.relay.RateWord;
import org.larkkeel.relay.RelayEffect;
import org.larkkeel.relay.RelayEvent;
import org.larkkeel.relay.RelayRouter;
import org.larkkeel.relay.RoomAsk;
import org.larkkeel.relay.RoomKeeping;
import org.larkkeel.relay.Suspect;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What nodes tell each other of their load, and who gives room.
 *
 * <p>In a small fleet each node tells all others, and takes room by itself. In a larger one that
 * would cost more than the work: there each node tells the first two by name, the first of which
 * gives room to the calls of all, and the second takes over from it. Nothing is agreed on and
 * nothing is kept: all that is told is told again, so that a message that is lost, or a node, does
 * no harm for long. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class LoadSharing {
  private static final Logger log = LoggerFactory.getLogger(LoadSharing.class);
  private static final long MILLI = 1_000_000L;

  /** The time between two calls of {@link #periodic}. */
  public static final long PERIOD_NANOS = 400 * MILLI;

  private static final long SOONEST_NANOS = 3 * MILLI;
  private static final long SOONEST_REPORT_NANOS = MILLI;

  /** How long a small change may wait for others before the keeper is told. */
  private static final long SMALL_CHANGE_NANOS = 40 * MILLI;

  /**
   * The least time between two messages for each node that gets them: what a node spends on telling
   * must not grow with the square of the fleet.
   */
  private static final long SOONEST_PER_PEER_NANOS = MILLI / 2;

  /** As the other, of messages that only say that a node lives. */
  private static final long PRESENCE_PER_PEER_NANOS = 100 * MILLI;

  private static final int SILENT_PERIODS = 4;
  private static final long YOUNG_NANOS = 2_000 * MILLI;
  private static final int KEEPERS = 2;

  /** How long a node takes room by itself after two keepers have not answered. */
  private static final long ALONE_NANOS = 1_000 * MILLI;

  private final HostName self;
  private final DataCentreName place;
  private final int keeperFrom;
  private final Surroundings around;
  private final PeerTable peers;
  private final RoomClient client;
  private final RoomServer server;
  private final SuspectSharing suspects;
  private final QuotaSharing quotas;
  private final LoadChange change = new LoadChange();
  private long startedAt;
  private ImmutableList<PeerTable.Keeper> keepers = ImmutableList.of();

  /** What all others have in flight, as the node that gives room has told it. */
  private final Map<UpstreamLife, Long> sums = new HashMap<>();

  /** Who has told all of them; empty before anyone has. */
  private Optional<HostName> sumsOf = Optional.empty();

  /** Who is told of the load: the keepers, and those that would be if they answered. */
  private ImmutableSet<PeerTable.Peer> listeners = ImmutableSet.of();

  private RoomKeeping keeping = RoomKeeping.EACH;
  private boolean large;
  private boolean leaving;
  private boolean planned;
  private boolean smallPlanned;
  private long toldAt;
  private long presentAt;
  private long lostAt = Long.MIN_VALUE;
  private long aloneUntil = Long.MIN_VALUE;
  private Supplier<FeedChanges> changes = () -> FeedChanges.NONE;
  private Supplier<ImmutableList<RateWord>> rates = ImmutableList::of;
  private Consumer<FeedChanges> others = c -> {};

  /** What it works in. */
  public interface Surroundings {
    /** Sends a datagram, which may be lost. */
    void send(InetSocketAddress to, byte[] message);

    /** Does something later. */
    void after(long nanos, Runnable action);

    /** Applies an event, and all that follows from it. */
    void submit(RelayEvent event);

    /** The time that events carry. */
    long now();
  }

  /**
   * Begins alone.
   *
   * @param self this node
   * @param place its data centre
   * @param keeperFrom from how many nodes one of them gives room
   * @param around what it works in
   */
  public LoadSharing(HostName self, DataCentreName place, int keeperFrom, Surroundings around) {
    this.self = self;
    this.place = place;
    this.keeperFrom = keeperFrom;
    this.around = around;
    this.peers = new PeerTable(self);
    this.startedAt = around.now();
    LongSupplier clock = around::now;
    this.client = new RoomClient(clock, around::after, this::report, this::keeperLost);
    this.server = new RoomServer(clock, this::answer);
    this.suspects = new SuspectSharing(self, peers, around, this::sendSuspects);
    this.quotas = new QuotaSharing(self, peers, around, new QuotaChannel());
  }

  /** Sets where what the store says comes from and where others' word of it goes. */
  void changes(Supplier<FeedChanges> own, Consumer<FeedChanges> heard) {
    changes = own;
    others = heard;
  }

  /** Sets where what this node knows of requests under which upstreams ended comes from. */
  public void suspects(Supplier<ImmutableList<Suspect>> known) {
    suspects.known(known);
  }

  /** Sets whose quotas, and limits of upstreams, are shared with the other nodes. */
  public void quotas(RelayRouter router) {
    rates = () -> router.rates(around.now());
    quotas.router(router);
  }

  /** Carries what is told of quotas. */
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

  /** Tells all nodes what this one has found out of a request. */
  public void tellSuspect(RelayEffect.TellSuspect news) {
    suspects.tell(news.suspect());
  }

  private void sendSuspects(PeerTable.Peer to, ImmutableList<Suspect> some) {
    send(to, message(PeerMessage.Kind.SUSPECTS).withSuspects(some));
  }

  /** Notes a node that is registered. */
  public void meet(InetSocketAddress address) {
    PeerTable.Peer peer = known(address);
    if (!peer.isHeard()) {
      send(peer, message(PeerMessage.Kind.PRESENCE));
    }
  }

  private PeerTable.Peer known(InetSocketAddress address) {
    int before = peers.size();
    PeerTable.Peer peer = peers.known(address, around.now());
    if (peers.size() > before) {
      around.submit(new RelayEvent.NodesCounted(around.now(), peers.size() + 1));
    }
    return peer;
  }

  /** The nodes that are heard of. */
  List<InetSocketAddress> live() {
    return peers.live();
  }

  /** How many nodes that are heard of come before this one by name. */
  int rank() {
    return peers.rank();
  }

  /** Who gives room now. */
  public RoomKeeping keeping() {
    return keeping;
  }

  /**
   * The machine was suspended. The others have gone on without this node, so it is as one that was
   * started just now: it is told anew what they know, and is no keeper for a while. Their silence
   * was its own.
   */
  public void resumed() {
    startedAt = around.now();
    peers.resumed(startedAt);
    quotas.resumed();
    sendToAll(message(PeerMessage.Kind.PRESENCE));
    choose();
  }

  /** The node stops: it gives no room any more, and no one counts on it. */
  public void leave() {
    leaving = true;
    sendToAll(message(PeerMessage.Kind.PRESENCE));
    choose();
  }

  /** Tells what is in flight and asked for now, at once or a little later. */
  public void tell(
      ImmutableMap<UpstreamLife, Long> loads,
      ImmutableSet<UpstreamLife> lapsing,
      ImmutableList<RoomAsk> asks) {
    boolean news = change.now(loads, lapsing);
    news |= client.asking(asks);
    server.own(loads);
    server.tellGrants();
    quotas.tell();
    if (large && change.isAny() && !smallPlanned) {
      smallPlanned = true;
      around.after(SMALL_CHANGE_NANOS, this::tellSmall);
    }
    if (planned || !news) {
      return;
    }
    long wait = toldAt + soonest() - around.now();
    if (wait <= 0) {
      tellNow();
    } else {
      planned = true;
      around.after(wait, this::tellPlanned);
    }
  }

  private long soonest() {
    return large
        ? SOONEST_REPORT_NANOS
        : Math.max(SOONEST_NANOS, peers.size() * SOONEST_PER_PEER_NANOS);
  }

  /** Tells the keeper of changes that no one had to know at once. */
  private void tellSmall() {
    smallPlanned = false;
    if (large && change.isAny()) {
      reportTo(listeners.stream().filter(client::asks).toList());
    }
  }

  private void tellPlanned() {
    planned = false;
    tellNow();
  }

  private void tellNow() {
    if (large) {
      report();
    } else {
      toldAt = around.now();
      sendToAll(loaded(PeerMessage.Kind.LOADS));
      change.told();
    }
  }

  private PeerMessage message(PeerMessage.Kind kind) {
    return PeerMessage.of(
        kind, new PeerMessage.Sender(self, place, state(), changes.get(), rates.get()));
  }

  private PeerMessage loaded(PeerMessage.Kind kind) {
    return message(kind).withLoads(change.loads(), change.lapsing());
  }

  private NodeState state() {
    if (leaving) {
      return NodeState.LEAVING;
    }
    return around.now() - startedAt < YOUNG_NANOS ? NodeState.YOUNG : NodeState.STEADY;
  }

  /** Tells those that give room; only the one in charge is asked. */
  private void report() {
    toldAt = around.now();
    reportTo(listeners);
  }

  private void reportTo(Collection<PeerTable.Peer> some) {
    PeerMessage report = loaded(PeerMessage.Kind.REPORT);
    for (PeerTable.Peer p : some) {
      send(p, client.asks(p) ? report.withAsks(client.asks()) : report);
    }
    change.told();
    client.told();
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
      around.send(to.address, bytes);
    }
  }

  /** Room was given to a call of another node, which is told with the next {@link #tell}. */
  public void grant(RelayEffect.GrantRoom grant) {
    server.grant(grant);
  }

  private void answer(HostName to, RoomServer.Answer answer) {
    peers.find(to).ifPresent(p -> send(p, answered(answer)));
  }

  private PeerMessage answered(RoomServer.Answer answer) {
    return switch (answer) {
      case RoomServer.Answer.Sums s ->
          message(s.isWhole() ? PeerMessage.Kind.SUMS : PeerMessage.Kind.CHANGED_SUMS)
              .withLoads(s.loads(), s.lapsing());
      case RoomServer.Answer.Grants g -> message(PeerMessage.Kind.GRANTS).withGrants(g.grants());
    };
  }

  /** Looks after all that time brings; to be called every {@link #PERIOD_NANOS}. */
  public void periodic() {
    long now = around.now();
    suspects.periodic();
    quotas.periodic();
    peers.look(now, SILENT_PERIODS * Math.max(PERIOD_NANOS, large ? presencePeriod() : 0));
    resize();
    choose();
    if (!large) {
      if (now - toldAt >= PERIOD_NANOS) {
        tellNow();
      }
      return;
    }
    if (now - presentAt >= presencePeriod()) {
      presentAt = now;
      sendToAll(message(PeerMessage.Kind.PRESENCE));
    }
    client.look();
    report();
  }

  private long presencePeriod() {
    return Math.max(PERIOD_NANOS, peers.size() * PRESENCE_PER_PEER_NANOS);
  }

  /** Goes over to the way of larger, or of smaller fleets. */
  private void resize() {
    boolean now = peers.size() + 1 >= keeperFrom;
    if (now == large) {
      return;
    }
    large = now;
    log.info("event=load_sharing large={} peers={}", large, peers.size());
    for (PeerTable.Peer p : peers.all()) {
      if (p.isHeard()) {
        forgetLoad(p.name);
      }
    }
  }

  private void forgetLoad(HostName node) {
    around.submit(
        new RelayEvent.LoadHeard(around.now(), node, ImmutableMap.of(), ImmutableSet.of()));
  }

  /** Chooses who gives room, as it follows from who is heard of. */
  private void choose() {
    final ImmutableList<PeerTable.Keeper> before = keepers;
    boolean alone = !large || around.now() < aloneUntil;
    keepers = alone ? ImmutableList.of() : peers.keepers(state(), KEEPERS, false);
    listeners = listeners();
    Optional<PeerTable.Peer> keeper = keepers.stream().findFirst().flatMap(PeerTable.Keeper::peer);
    RoomKeeping now = RoomKeeping.EACH;
    if (!keepers.isEmpty()) {
      now = keeper.isPresent() ? RoomKeeping.ASK : RoomKeeping.KEEP;
    }
    client.ask(keeper);
    if (!first(before).equals(first(keepers))) {
      first(before).filter(n -> !n.equals(self)).ifPresent(this::forgetLoad);
      log.info(
          "event=room_keeper keeping={} keeper={} stands_by={}",
          now,
          first(keepers).map(HostName::value).orElse(""),
          keepers.size() < KEEPERS ? "" : keepers.get(1).name());
    }
    if (now != keeping) {
      keeping = now;
      if (now == RoomKeeping.KEEP) {
        around.after(RoomServer.SUMS_NANOS, this::tellSums);
      }
      around.submit(new RelayEvent.KeepingChanged(around.now(), now));
    }
    if (!before.equals(keepers)) {
      report();
    }
  }

  private void tellSums() {
    if (keeping == RoomKeeping.KEEP) {
      server.tellSums();
      around.after(RoomServer.SUMS_NANOS, this::tellSums);
    }
  }

  private ImmutableSet<PeerTable.Peer> listeners() {
    if (!large) {
      return ImmutableSet.of();
    }
    return Stream.concat(keepers.stream(), peers.keepers(state(), KEEPERS, true).stream())
        .flatMap(k -> k.peer().stream())
        .collect(ImmutableSet.toImmutableSet());
  }

  private static Optional<HostName> first(ImmutableList<PeerTable.Keeper> all) {
    return all.stream().findFirst().map(PeerTable.Keeper::name);
  }

  private void keeperLost(PeerTable.Peer keeper, String cause) {
    long now = around.now();
    peers.suspect(keeper, cause);
    if (lostAt != Long.MIN_VALUE && now - lostAt < ALONE_NANOS) {
      aloneUntil = now + ALONE_NANOS;
      around.after(ALONE_NANOS, this::choose);
    }
    lostAt = now;
    choose();
  }

  /** Others ask the one that stands by: the one in charge does not answer them. */
  private void askedInstead() {
    if (keepers.size() > 1 && keepers.get(1).peer().isEmpty()) {
      keepers.getFirst().peer().ifPresent(p -> peers.suspect(p, "others_ask_here"));
      choose();
    }
  }

  /** Takes a datagram in. */
  public void heard(InetSocketAddress from, byte[] bytes) {
    PeerMessageCodec.fromBytes(bytes)
        .filter(m -> !m.sender().node().equals(self))
        .ifPresent(m -> heard(known(from), m));
  }

  private void heard(PeerTable.Peer from, PeerMessage message) {
    final boolean news = !from.isHeard() || from.state != message.sender().state();
    peers.heard(from, message.sender(), around.now());
    others.accept(message.sender().changes());
    if (!message.sender().rates().isEmpty()) {
      around.submit(new RelayEvent.RatesHeard(around.now(), message.sender().rates()));
    }
    if (large && news) {
      choose();
    }
    switch (message.kind()) {
      case LOADS -> loads(message);
      case REPORT -> reported(from, message);
      case SUMS, CHANGED_SUMS -> sums(from, message);
      case GRANTS -> granted(from, message);
      case PRESENCE -> present(from, message);
      case SUSPECTS -> {
        around.submit(new RelayEvent.SuspectsHeard(around.now(), message.suspects()));
        suspects.heard(message.suspects());
      }
      case QUOTA -> message.quota().ifPresent(m -> quotas.heard(from, m));
      default -> throw new IllegalStateException("no such kind: " + message.kind());
    }
  }

  private void loads(PeerMessage m) {
    if (!large || server.isAsked()) {
      load(m);
    }
  }

  private void load(PeerMessage m) {
    around.submit(
        new RelayEvent.LoadHeard(around.now(), m.sender().node(), m.loads(), m.lapsing()));
  }

  private void reported(PeerTable.Peer from, PeerMessage m) {
    server.reported(m);
    load(m);
    if (!m.asks().isEmpty() && keeping == RoomKeeping.ASK) {
      askedInstead();
    }
    if (keeping != RoomKeeping.KEEP) {
      return;
    }
    PeerMessage.Sender s = m.sender();
    if (!m.asks().isEmpty()) {
      server.acknowledge(s.node());
    }
    around.submit(new RelayEvent.RoomAsked(around.now(), s.node(), s.place(), m.asks()));
  }

  private void sums(PeerTable.Peer from, PeerMessage m) {
    if (!client.heard(from) || server.isAsked()) {
      return;
    }
    if (m.kind() == PeerMessage.Kind.SUMS) {
      sums.clear();
      sumsOf = Optional.of(m.sender().node());
    } else if (!sumsOf.equals(Optional.of(m.sender().node()))) {
      return;
    }
    m.loads().forEach(this::sum);
    around.submit(
        new RelayEvent.LoadHeard(
            around.now(), m.sender().node(), ImmutableMap.copyOf(sums), m.lapsing()));
  }

  private void sum(UpstreamLife life, long units) {
    if (units == 0) {
      sums.remove(life);
    } else {
      sums.put(life, units);
    }
  }

  private void granted(PeerTable.Peer from, PeerMessage m) {
    client.heard(from);
    for (RoomGrant grant : m.grants()) {
      around.submit(
          new RelayEvent.RoomGranted(around.now(), grant.call(), grant.home(), grant.reader()));
    }
  }

  /** Answers one that was started just now, so that it soon knows who lives. */
  private void present(PeerTable.Peer from, PeerMessage m) {
    if (m.sender().state() == NodeState.YOUNG) {
      send(from, loaded(PeerMessage.Kind.LOADS));
      suspects.tellAllTo(from);
    }
  }
}
