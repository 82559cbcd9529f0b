/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/**
 * The paths of all nodes to one runner: a proxy for each node, so that the path of one node can be
 * cut while the others reach the runner. What concerns the runner itself concerns all proxies.
 *
 * <p>Safe for use by several threads.
 */
final class SoakPaths implements AutoCloseable {
  /** What becomes of the connections of a node whose path is cut. */
  enum Cut {
    /** They hang, also new ones. */
    DROPS,
    /** They are reset, and new ones are refused. */
    RESETS,
    /** New ones are refused. */
    REFUSES_NEW
  }

  private final List<SoakProxy> proxies = new ArrayList<>();
  private final boolean[] cut;
  private SoakProxy.Mode mode = SoakProxy.Mode.PASS;
  private boolean down;
  private long changedNanos = System.nanoTime();

  SoakPaths(String host, InetSocketAddress runner, int nodes) {
    for (int i = 0; i < nodes; i++) {
      proxies.add(new SoakProxy(host, runner));
    }
    cut = new boolean[nodes];
  }

  /** Returns the address in the runner's entry, which is that for the first node. */
  String address() {
    return address(0);
  }

  /** Returns the address at which a node reaches the runner. */
  String address(int node) {
    return proxies.get(node).address();
  }

  /** Returns whether connections of all nodes have passed unharmed since a time. */
  synchronized boolean havePassedSince(long nanos) {
    return mode == SoakProxy.Mode.PASS && !down && changedNanos < nanos;
  }

  synchronized void setMode(SoakProxy.Mode next) {
    changedNanos = System.nanoTime();
    mode = next;
    for (int i = 0; i < proxies.size(); i++) {
      if (!cut[i]) {
        proxies.get(i).setMode(next);
      }
    }
  }

  /** Resets all connections and refuses new ones, as when the runner has ended. */
  synchronized void down() {
    changedNanos = System.nanoTime();
    down = true;
    for (int i = 0; i < proxies.size(); i++) {
      if (!cut[i]) {
        proxies.get(i).down();
      }
    }
  }

  /** Refuses new connections; open ones go on until the runner closes them. */
  synchronized void refuseNew() {
    changedNanos = System.nanoTime();
    down = true;
    for (int i = 0; i < proxies.size(); i++) {
      if (!cut[i]) {
        proxies.get(i).refuseNew();
      }
    }
  }

  /** Accepts connections again. */
  synchronized void up() {
    if (!down) {
      return;
    }
    changedNanos = System.nanoTime();
    down = false;
    for (int i = 0; i < proxies.size(); i++) {
      if (!cut[i]) {
        proxies.get(i).up();
      }
    }
  }

  /** Cuts the path of a node. */
  synchronized void cut(int node, Cut kind) {
    if (cut[node]) {
      return;
    }
    cut[node] = true;
    changedNanos = System.nanoTime();
    SoakProxy proxy = proxies.get(node);
    switch (kind) {
      case DROPS -> proxy.hang();
      case RESETS -> proxy.down();
      case REFUSES_NEW -> proxy.refuseNew();
      default -> throw new IllegalStateException("unknown kind of cut: " + kind);
    }
  }

  /** Heals the path of a node. */
  synchronized void heal(int node) {
    if (!cut[node]) {
      return;
    }
    cut[node] = false;
    changedNanos = System.nanoTime();
    SoakProxy proxy = proxies.get(node);
    if (down) {
      proxy.down();
    } else {
      proxy.up();
    }
    proxy.setMode(mode);
  }

  @Override
  public void close() throws IOException {
    for (SoakProxy proxy : proxies) {
      proxy.close();
    }
  }
}
