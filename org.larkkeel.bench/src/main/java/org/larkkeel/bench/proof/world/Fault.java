/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

/**
 * A fault that can be injected into a run.
 *
 * @since 0.1
 */
public enum Fault {
  /** The process of the node dies; its host starts a new one later. */
  NODE_DEATH("process death"),
  /** The upstream dies and restarts later without its memory contents. */
  UPSTREAM_DEATH("engine death"),
  /**
   * The upstream restarts under its name before any node finds it unavailable; its memory is empty.
   */
  UPSTREAM_RESTART("engine starts again"),
  /** The connections between nodes and the upstream break; the upstream itself keeps running. */
  UPSTREAM_UNREACHABLE("engine unreachable"),
  /** Transfers between engines make no progress. */
  TRANSFER_STALL("transfer stall"),
  /** Engines drop the KV caches that wait for their transfer or decode. */
  KV_EVICTED("KV evicted"),
  /** The caller closes its connection. */
  CALLER_CANCEL("caller cancel"),
  /** The platform's store refuses every call. */
  STORE_DOWN("store down"),
  /** The store answers late; some calls take effect after their caller timed out. */
  STORE_SLOW("store slow"),
  /** Writes to the store take effect but their answers are lost. */
  ANSWER_LOST("write answer lost"),
  /** The node is paused until other nodes have taken over from it, and then resumes. */
  LEASE_LAPSED("lease lapsed while paused"),
  /** Two operators change the configuration at the same time through two nodes. */
  OPERATORS_RACING("operators racing"),
  /** Messages between nodes are lost. */
  PEER_LOST("peer messages lost"),
  /** Messages between nodes arrive late. */
  PEER_DELAYED("peer messages delayed"),
  /** Messages between nodes arrive twice. */
  PEER_DOUBLED("peer messages doubled"),
  /** Messages between nodes overtake each other. */
  PEER_CROSSED("peer messages crossed"),
  /** An operator marks the upstream as leaving. */
  UPSTREAM_LEAVING("upstream leaving"),
  /** Answers of upstreams arrive after the node's timeout. */
  ANSWERS_LATE("upstream answers late"),
  /** Load reports arrive with outdated contents. */
  STALE_LOAD("stale load report"),
  /**
   * Cache reports are outdated, have gaps in their sequence, or come from an earlier incarnation.
   */
  STALE_CACHE("stale or gappy cache report");

  private final String title;

  Fault(String title) {
    this.title = title;
  }

  /**
   * Returns the name of the fault as shown on the results page.
   *
   * @return a short phrase
   */
  public String title() {
    return title;
  }
}
