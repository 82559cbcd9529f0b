/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import org.larkkeel.lib.DataCentreName;
import org.larkkeel.lib.UpstreamIncarnation;
import org.larkkeel.lib.UpstreamName;

/**
 * One incarnation of an upstream, as discovered.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param incarnation the name and incarnation
 * @param service the service that the upstream belongs to
 * @param address IP number and port
 * @param dataCentre the data centre of the upstream
 * @param slots the number of requests that it serves at once, at least 1
 * @param stage the part of the work that it takes
 * @param build the build of its software
 * @param leaving true if it has announced that it is leaving and takes no new work
 * @since 0.1
 */
public record RelayUpstream(
    UpstreamIncarnation incarnation,
    ServiceName service,
    String address,
    DataCentreName dataCentre,
    int slots,
    Stage stage,
    BuildName build,
    boolean leaving) {
  /** Creates an upstream that does not name its build. */
  public RelayUpstream(
      UpstreamIncarnation incarnation,
      ServiceName service,
      String address,
      DataCentreName dataCentre,
      int slots,
      Stage stage,
      boolean leaving) {
    this(incarnation, service, address, dataCentre, slots, stage, BuildName.UNKNOWN, leaving);
  }

  /** Returns the name, which is the same for all incarnations of the upstream. */
  public UpstreamName name() {
    return incarnation.name();
  }

  /** Returns this upstream, marked as leaving. */
  public RelayUpstream withLeaving() {
    return new RelayUpstream(incarnation, service, address, dataCentre, slots, stage, build, true);
  }
}
