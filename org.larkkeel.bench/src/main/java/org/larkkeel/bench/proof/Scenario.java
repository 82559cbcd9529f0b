/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import java.util.Optional;
import org.larkkeel.bench.proof.world.Callers.Part;
import org.larkkeel.bench.proof.world.Configurations;
import org.larkkeel.bench.proof.world.VirtualTime;
import org.larkkeel.bench.proof.world.World;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/**
 * What happens in a run besides the faults. The steps of a scenario are those that a run without
 * faults reaches.
 *
 * @since 0.1
 */
public enum Scenario {
  /** A completion is prefilled, transferred, decoded and answered. */
  GENERATED("generated request") {
    @Override
    void begin(World world) {
      complete(world, Part.SUBJECT);
    }
  },
  /** The caller of a completion leaves while it is decoded. */
  GENERATED_LEFT("generated request, caller leaves") {
    @Override
    void begin(World world) {
      RequestId request = complete(world, Part.SUBJECT);
      world.run(MID_DECODE);
      world.callers().leave(request);
    }
  },
  /** The decode engine of a completion dies in the middle of its answer. */
  GENERATED_RESUMED("generated request, decode resumed") {
    @Override
    void begin(World world) {
      complete(world, Part.SUBJECT);
      world.run(MID_DECODE);
      world.killLastUpstream(DOWNTIME);
    }
  },
  /** A plain call that may be repeated. */
  PLAIN_IDEMPOTENT("plain idempotent call") {
    @Override
    void begin(World world) {
      world.callers().call(Part.SUBJECT, 0, Configurations.READ);
    }
  },
  /** A plain call that must not run twice, with a key. */
  PLAIN_KEYED("non-idempotent call with key") {
    @Override
    void begin(World world) {
      world.callers().callOnce(Part.SUBJECT, 0, "order-1");
      world.callers().callOnce(Part.SUBJECT, 0, "order-2");
      world.callers().callOnce(Part.SUBJECT, 0, "order-3");
    }
  },
  /** A plain call with a key is sent again after it was answered. */
  PLAIN_KEYED_REPEATED("non-idempotent call with key, repeated") {
    @Override
    void begin(World world) {
      world.callers().callOnce(Part.SUBJECT, 0, "order-1");
      world.run(VirtualTime.SECOND);
      world.callers().callOnce(Part.SUBJECT, 1, "order-1");
    }
  },
  /** A plain call that must not run twice, without a key. */
  PLAIN_UNKEYED("non-idempotent call without key") {
    @Override
    void begin(World world) {
      world.callers().call(Part.SUBJECT, 0, Configurations.ORDER);
    }
  },
  /** A request that no rule matches. */
  REFUSED("refused request") {
    @Override
    void begin(World world) {
      world.callers().complete(Part.SUBJECT, 0, new ModelName("unknown"));
    }
  },
  /** An operator takes an upstream out of use while requests arrive. */
  CONFIGURATION("configuration change") {
    @Override
    void begin(World world) {
      world.operate(0, Optional.of(new UpstreamName("decode-b")));
      stream(world, Part.SUBJECT);
    }
  },
  /** A node dies and is replaced while requests arrive. */
  MEMBERSHIP("membership change") {
    @Override
    void begin(World world) {
      world.killNode(World.NODES - 1);
      stream(world, Part.SUBJECT);
    }
  },
  /** A node is stopped as planned while it has requests in progress. */
  PLANNED_STOP("planned stop") {
    @Override
    void begin(World world) {
      complete(world, Part.SUBJECT);
      world.callers().call(Part.SUBJECT, 0, Configurations.READ);
      world.callers().callOnce(Part.SUBJECT, 0, "order-1");
      world.run(SOON);
      world.stopNode(0);
    }
  };

  private static final long MID_DECODE = 170 * VirtualTime.MILLI;
  private static final long DOWNTIME = 2 * VirtualTime.SECOND;
  private static final long SOON = 30 * VirtualTime.MILLI;
  private static final long STREAM_EVERY = 400 * VirtualTime.MILLI;
  private static final int STREAM_LENGTH = 20;

  private final String title;

  Scenario(String title) {
    this.title = title;
  }

  /**
   * The name of the scenario for people.
   *
   * @return a short phrase
   */
  public String title() {
    return title;
  }

  /** Begins, and lets as much time pass as it needs to. */
  abstract void begin(World world);

  private static RequestId complete(World world, Part part) {
    return world.callers().complete(part, 0, Configurations.MODEL);
  }

  private static void stream(World world, Part part) {
    for (int i = 0; i < STREAM_LENGTH; i++) {
      world.callers().complete(part, i, Configurations.MODEL);
      world.callers().call(part, i, Configurations.READ);
      world.run(STREAM_EVERY);
    }
  }
}
