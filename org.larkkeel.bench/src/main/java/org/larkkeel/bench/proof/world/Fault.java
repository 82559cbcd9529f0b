/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

/**
 * What may fail.
 *
 * @since 0.1
 */
public enum Fault {
  /** The process of the node dies; its host starts another one later. */
  NODE_DEATH("process death"),
  /** The upstream dies and comes back empty. */
  UPSTREAM_DEATH("engine death"),
  /** The upstream starts again under its name before anybody finds it away, and is empty. */
  UPSTREAM_RESTART("engine starts again"),
  /** The connections between nodes and the upstream break, while it goes on. */
  UPSTREAM_UNREACHABLE("engine unreachable"),
  /** Transfers between engines stand still. */
  TRANSFER_STALL("transfer stall"),
  /** Engines drop the KV caches that wait for their transfer. */
  KV_EVICTED("KV evicted"),
  /** The caller closes its connection. */
  CALLER_CANCEL("caller cancel"),
  /** The platform's store refuses every call. */
  STORE_DOWN("store down"),
  /** The store answers late; some calls take effect after their caller gave up. */
  STORE_SLOW("store slow"),
  /** Writes take effect and their answers are lost. */
  ANSWER_LOST("write answer lost"),
  /** The node is paused until the others have taken over from it, and goes on. */
  LEASE_LAPSED("lease lapsed while paused"),
  /** Two operators change the configuration at once through two nodes. */
  OPERATORS_RACING("operators racing"),
  /** Messages between nodes are lost. */
  PEER_LOST("peer messages lost"),
  /** Messages between nodes come late. */
  PEER_DELAYED("peer messages delayed"),
  /** Messages between nodes come twice. */
  PEER_DOUBLED("peer messages doubled"),
  /** Messages between nodes overtake each other. */
  PEER_CROSSED("peer messages crossed"),
  /** The upstream is to take no new work. */
  UPSTREAM_LEAVING("upstream leaving"),
  /** Answers of upstreams come after the node gave up on them. */
  ANSWERS_LATE("upstream answers late"),
  /** Load reports are old. */
  STALE_LOAD("stale load report"),
  /** Cache reports are old, with gaps and of an earlier start. */
  STALE_CACHE("stale or gappy cache report");

  private final String title;

  Fault(String title) {
    this.title = title;
  }

  /**
   * The name of the fault for people.
   *
   * @return a short phrase
   */
  public String title() {
    return title;
  }
}
