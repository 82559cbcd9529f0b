/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.larkkeel.event.Event;
import org.larkkeel.lib.HostName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.store.log.LogEntry;
import org.larkkeel.store.log.LogFollower;
import org.larkkeel.store.log.LogName;
import org.larkkeel.store.log.LogOptions;
import org.larkkeel.store.log.LogSnapshot;
import org.larkkeel.store.log.ObjectLog;
import org.larkkeel.store.log.WriterId;

/**
 * Follows the configuration log and applies each configuration to one node.
 *
 * <p>Not safe for use by several threads.
 *
 * @since 0.1
 */
final class NodeConfig implements LogFollower.Listener {
  static final LogName LOG = new LogName("configlog");
  static final String LEAVING = "leaving";

  private final World world;
  private final Node node;
  private final ObjectLog log;
  private final List<LogEntry> entries = new ArrayList<>();
  private LogFollower follower;

  NodeConfig(World world, Node node, long seed) {
    this.world = world;
    this.node = node;
    WriterId writer = new WriterId(node.host, node.incarnation);
    StoreClient client = new StoreClient(world, node.process);
    this.log =
        new ObjectLog(client, LOG, writer, node.process, new Random(seed), LogOptions.DEFAULT);
  }

  void start() {
    follower = log.follow(0, this);
  }

  ObjectLog log() {
    return log;
  }

  long lastEntryNumber() {
    return entries.size();
  }

  /**
   * Applies an entry that this node appended itself or received from a peer, without waiting for
   * the watch of the log.
   */
  void offer(LogEntry entry) {
    follower.offer(entry);
  }

  /** Requests the log entries that this node lacks from a peer. */
  void pullFrom(HostName peer) {
    long after = lastEntryNumber();
    world
        .nodeOn(peer)
        .ifPresent(
            to -> world.peerFaults().send(to.process, () -> to.config().answerPull(after, node)));
  }

  private void answerPull(long after, Node requester) {
    List<LogEntry> missing = entries.stream().filter(entry -> entry.number() > after).toList();
    world
        .peerFaults()
        .send(requester.process, () -> missing.forEach(entry -> requester.config().offer(entry)));
  }

  @Override
  public void snapshot(LogSnapshot snapshot) {
    throw new IllegalStateException(
        "unexpected snapshot: the configuration log of the simulated cluster has none");
  }

  @Override
  public void entry(LogEntry entry) {
    entries.add(entry);
    List<UpstreamName> leaving = new ArrayList<>();
    entries.forEach(e -> leaving(e).ifPresent(leaving::add));
    Revision revision = new Revision(entry.number());
    node.apply(
        new Event.ConfigurationAccepted(
            world.time().now(), Configurations.withLeaving(leaving).withRevision(revision)));
    node.peers().announceRevision(revision);
  }

  /** Returns the upstream that an entry marks as leaving. */
  static Optional<UpstreamName> leaving(LogEntry entry) {
    return entry.records().stream()
        .map(record -> record.path(LEAVING).asText())
        .filter(name -> !name.isEmpty())
        .map(UpstreamName::new)
        .findFirst();
  }
}
