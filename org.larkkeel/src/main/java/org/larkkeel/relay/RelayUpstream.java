/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.UpstreamLife;
import org.larkkeel.lib.UpstreamName;

/**
 * One life of an upstream, as discovered.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param life which upstream, and which life of it
 * @param service the service of which it is
 * @param address IP number and port
 * @param place where it runs
 * @param slots the requests that it serves at once, at least 1
 * @param stage which part of the work it takes
 * @param leaving whether it has announced that it leaves and takes no new work
 * @since 0.1
 */
public record RelayUpstream(
    UpstreamLife life,
    ServiceName service,
    String address,
    DataCentreName place,
    int slots,
    Stage stage,
    boolean leaving) {
  /** The name, which later lives of the upstream have as well. */
  public UpstreamName id() {
    return life.name();
  }

  /** This upstream, about to leave. */
  public RelayUpstream withLeaving() {
    return new RelayUpstream(life, service, address, place, slots, stage, true);
  }
}
