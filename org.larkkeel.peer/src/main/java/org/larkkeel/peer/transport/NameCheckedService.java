/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.peer.transport;

import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.larkkeel.peer.gen.Batch;
import org.larkkeel.peer.gen.ConfigPage;
import org.larkkeel.peer.gen.PeerService;
import org.larkkeel.peer.gen.WireClaimReply;
import org.larkkeel.peer.gen.WireRecordAnswer;
import org.larkkeel.peer.gen.WireRunClaim;
import org.larkkeel.peer.gen.WireRunRecord;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Answers the calls of one connection and refuses batches whose sender name is not in the
 * certificate of the peer. Other calls carry no sender name and are passed on unchecked.
 */
final class NameCheckedService implements PeerService.Iface {
  private static final Logger LOG = LoggerFactory.getLogger(NameCheckedService.class);

  private final PeerService.Iface service;
  private final CertificateNames names;

  NameCheckedService(PeerService.Iface service, CertificateNames names) {
    this.service = service;
    this.names = names;
  }

  @Override
  public Batch exchange(Batch batch) throws TException {
    try {
      names.check(batch);
    } catch (TApplicationException e) {
      LOG.warn("event=peer_name_refused error=\"{}\"", e.getMessage());
      throw e;
    }
    return service.exchange(batch);
  }

  @Override
  public ConfigPage pullConfig(long fromRevision) throws TException {
    return service.pullConfig(fromRevision);
  }

  @Override
  public WireClaimReply claimRun(WireRunClaim claim) throws TException {
    return service.claimRun(claim);
  }

  @Override
  public WireRecordAnswer recordRun(WireRunRecord end) throws TException {
    return service.recordRun(end);
  }
}
