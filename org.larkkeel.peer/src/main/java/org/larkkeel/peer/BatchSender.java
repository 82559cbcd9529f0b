/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer;

import java.util.Optional;
import org.larkkeel.lib.HostName;
import org.larkkeel.peer.gen.Batch;
import org.larkkeel.peer.membership.Member;
import org.larkkeel.peer.transport.LeaseBatch;
import org.larkkeel.peer.transport.PeerClient;
import org.larkkeel.time.BootClock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends the batches of the {@link LeaseManager} and reports each reply or failure to it.
 *
 * <p>Runs on the core thread only; replies are queued for the core thread.
 */
final class BatchSender {
  private static final Logger LOG = LoggerFactory.getLogger(BatchSender.class);

  private final CoreThread core;
  private final PeerClient client;
  private final LeaseManager leases;

  BatchSender(CoreThread core, PeerClient client, LeaseManager leases) {
    this.core = core;
    this.client = client;
    this.leases = leases;
  }

  /**
   * Sends a batch.
   *
   * @param view the view that gives the address of the peer
   * @param peer the peer
   * @param batch the batch to send
   */
  void send(PeerView view, HostName peer, LeaseBatch batch) {
    Optional<Member> member = view.findPresent(peer);
    if (member.isEmpty()) {
      leases.onPeerNotPresent(BootClock.SYSTEM.nanoTime(), peer, batch);
      return;
    }
    client
        .exchange(member.get().address(), batch.toWire())
        .whenComplete(
            (reply, failure) -> core.submit(() -> onCompletion(peer, batch, reply, failure)));
  }

  private void onCompletion(HostName peer, LeaseBatch batch, Batch reply, Throwable failure) {
    long now = BootClock.SYSTEM.nanoTime();
    if (failure != null) {
      LOG.debug("event=peer_exchange_failed peer={} error=\"{}\"", peer, failure.toString());
      leases.onFailure(now, peer, batch);
      return;
    }
    try {
      leases.onReply(now, peer, batch, LeaseBatch.fromWire(reply));
    } catch (IllegalArgumentException e) {
      LOG.warn("event=peer_reply_invalid peer={} error=\"{}\"", peer, e.getMessage());
      leases.onFailure(now, peer, batch);
    }
  }
}
