/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.peer.membership.MembershipSettings;
import org.larkkeel.peer.membership.NodeAddress;
import org.larkkeel.peer.membership.NodeId;
import org.larkkeel.peer.transport.DatagramKey;
import org.larkkeel.peer.transport.NameCheck;
import org.larkkeel.peer.transport.TransportSettings;

/**
 * Settings of a {@link PeerNode}, with fluent setters for the optional ones.
 *
 * <p>Not safe for use by several threads. The settings are read when the node starts; later changes
 * have no effect.
 *
 * @since 0.1
 */
public final class PeerSettings {
  private final NodeId id;
  private final DataCentreName dataCentre;
  private final InetSocketAddress listen;
  private List<NodeAddress> seeds = List.of();
  private List<DatagramKey> keys = List.of();
  private Optional<SSLContext> ssl = Optional.empty();
  private NameCheck nameCheck = NameCheck.REQUIRED;
  private MembershipSettings membership = MembershipSettings.defaults();
  private TransportSettings transport = TransportSettings.defaults();
  private LeaseSettings leases = LeaseSettings.perRequest();
  private RunService runs = RunService.NONE;
  private long seed;

  /**
   * Creates settings.
   *
   * @param id the host and incarnation; a restarted process of the host needs a greater incarnation
   * @param dataCentre the data centre of the node
   * @param listen the address at which peers reach the node, not a wildcard; port 0 selects a free
   *     port
   * @throws IllegalArgumentException if the address is a wildcard
   */
  public PeerSettings(NodeId id, DataCentreName dataCentre, InetSocketAddress listen) {
    if (listen.getAddress() == null || listen.getAddress().isAnyLocalAddress()) {
      throw new IllegalArgumentException(
          "listen is " + listen + ": use the IP address at which peers reach this node");
    }
    this.id = id;
    this.dataCentre = dataCentre;
    this.listen = listen;
    this.seed = id.incarnation().value() ^ id.host().value().hashCode();
  }

  /**
   * Sets the addresses through which the node joins the cluster before the host list is known.
   *
   * @param addresses the addresses; may include the address of this node
   * @return this
   */
  public PeerSettings setSeeds(List<NodeAddress> addresses) {
    this.seeds = List.copyOf(addresses);
    return this;
  }

  /**
   * Sets the keys that authenticate datagrams. The first key signs; datagrams with any of the keys
   * are accepted.
   *
   * @param datagramKeys the keys; empty for unauthenticated datagrams, as in tests
   * @return this
   */
  public PeerSettings setKeys(List<DatagramKey> datagramKeys) {
    this.keys = List.copyOf(datagramKeys);
    return this;
  }

  /**
   * Sets the TLS context of calls; both sides need a certificate that the other accepts.
   *
   * @param context the context
   * @return this
   */
  public PeerSettings setSslContext(SSLContext context) {
    this.ssl = Optional.of(context);
    return this;
  }

  /**
   * Sets whether the node name in a peer's call must be in the peer's certificate. Without TLS this
   * has no effect.
   *
   * @param check the check; {@link NameCheck#REQUIRED} by default
   * @return this
   */
  public PeerSettings setNameCheck(NameCheck check) {
    this.nameCheck = check;
    return this;
  }

  /**
   * Sets the periods and limits of the membership protocol.
   *
   * @param settings the settings
   * @return this
   */
  public PeerSettings setMembership(MembershipSettings settings) {
    this.membership = settings;
    return this;
  }

  /**
   * Sets the timeouts and limits of calls between nodes.
   *
   * @param settings the settings
   * @return this
   */
  public PeerSettings setTransport(TransportSettings settings) {
    this.transport = settings;
    return this;
  }

  /**
   * Sets the times of slot leases and rate limits.
   *
   * @param settings the settings
   * @return this
   */
  public PeerSettings setLeases(LeaseSettings settings) {
    this.leases = settings;
    return this;
  }

  /**
   * Sets the seed of random choices.
   *
   * @param randomSeed the seed
   * @return this
   */
  public PeerSettings setSeed(long randomSeed) {
    this.seed = randomSeed;
    return this;
  }

  /**
   * Sets the service that answers claims and records of runs from peers.
   *
   * @param service the service
   * @return this
   */
  public PeerSettings setRuns(RunService service) {
    this.runs = service;
    return this;
  }

  RunService runs() {
    return runs;
  }

  NodeId id() {
    return id;
  }

  DataCentreName dataCentre() {
    return dataCentre;
  }

  InetSocketAddress listen() {
    return listen;
  }

  List<NodeAddress> seeds() {
    return seeds;
  }

  List<DatagramKey> keys() {
    return keys;
  }

  Optional<SSLContext> ssl() {
    return ssl;
  }

  NameCheck nameCheck() {
    return nameCheck;
  }

  MembershipSettings membership() {
    return membership;
  }

  TransportSettings transport() {
    return transport;
  }

  LeaseSettings leases() {
    return leases;
  }

  long seed() {
    return seed;
  }
}
