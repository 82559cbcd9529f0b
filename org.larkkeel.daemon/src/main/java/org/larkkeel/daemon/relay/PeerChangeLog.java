/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/**
 * Logs which peers were met, became silent, were heard again or were forgotten, with one line for
 * all peers that changed in the same way within a period.
 *
 * <p>With a line for each peer, the start of 87 nodes would log 7,482 lines. Not thread-safe.
 */
final class PeerChangeLog {
  private static final Logger log = LoggerFactory.getLogger(PeerChangeLog.class);

  /** The maximum number of addresses in a line; the count covers all peers. */
  private static final int MAX_ADDRESSES = 8;

  private final Map<Change, List<InetSocketAddress>> pending = new EnumMap<>(Change.class);

  /** How a peer has changed. */
  enum Change {
    /** The peer was added. */
    MET("peer_met", Level.INFO),

    /** The peer has sent nothing for the inactivity timeout. */
    SILENT("peer_silent", Level.WARN),

    /** A silent peer has sent a message. */
    HEARD_AGAIN("peer_heard_again", Level.INFO),

    /** The peer was removed. */
    FORGOTTEN("peer_forgotten", Level.INFO);

    private final String event;
    private final Level level;

    Change(String event, Level level) {
      this.event = event;
      this.level = level;
    }
  }

  /** Adds a change to the next line. */
  void add(Change change, InetSocketAddress peer) {
    pending.computeIfAbsent(change, c -> new ArrayList<>()).add(peer);
  }

  /**
   * Writes a line for each kind of change since the last call.
   *
   * @param size the number of peers that are known now
   * @return the number of lines
   */
  int write(int size) {
    int lines = pending.size();
    if (lines == 0) {
      return 0;
    }
    pending.forEach(
        (change, changed) ->
            log.atLevel(change.level)
                .log(
                    "event={} count={} peers={} addresses={}",
                    change.event,
                    changed.size(),
                    size,
                    addresses(changed)));
    pending.clear();
    return lines;
  }

  /** Returns the first addresses, separated by commas. */
  private static String addresses(List<InetSocketAddress> changed) {
    StringBuilder text = new StringBuilder();
    for (InetSocketAddress a : changed.subList(0, Math.min(MAX_ADDRESSES, changed.size()))) {
      text.append(text.isEmpty() ? "" : ",")
          .append(a.getHostString())
          .append(':')
          .append(a.getPort());
    }
    return text.toString();
  }
}
