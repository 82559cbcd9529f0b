/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof;

import java.util.Optional;
import org.larkkeel.bench.proof.world.Callers.Purpose;
import org.larkkeel.bench.proof.world.Configurations;
import org.larkkeel.bench.proof.world.VirtualTime;
import org.larkkeel.bench.proof.world.World;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.UpstreamName;

/**
 * The requests and operations of a run, apart from the injected faults. The steps of a scenario are
 * the events and effects that a run without faults reaches.
 *
 * @since 0.1
 */
public enum Scenario {
  /** A completion is prefilled, transferred, decoded and answered. */
  GENERATED("generated request") {
    @Override
    void start(World world) {
      sendCompletion(world, Purpose.SUBJECT);
    }
  },
  /** The caller of a completion disconnects during decode. */
  GENERATED_CALLER_LEAVES("generated request, caller leaves") {
    @Override
    void start(World world) {
      RequestId request = sendCompletion(world, Purpose.SUBJECT);
      world.run(MID_DECODE_NANOS);
      world.callers().disconnect(request);
    }
  },
  /** The decode engine of a completion dies in the middle of its answer. */
  GENERATED_RESUMED("generated request, decode resumed") {
    @Override
    void start(World world) {
      sendCompletion(world, Purpose.SUBJECT);
      world.run(MID_DECODE_NANOS);
      world.killLastUpstream(DOWNTIME_NANOS);
    }
  },
  /** A plain call that may run more than once. */
  PLAIN_IDEMPOTENT("plain idempotent call") {
    @Override
    void start(World world) {
      world.callers().sendPlain(Purpose.SUBJECT, 0, Configurations.READ);
    }
  },
  /** Plain calls that must not run twice, each with an idempotency key. */
  PLAIN_KEYED("non-idempotent call with key") {
    @Override
    void start(World world) {
      world.callers().sendKeyed(Purpose.SUBJECT, 0, "order-1");
      world.callers().sendKeyed(Purpose.SUBJECT, 0, "order-2");
      world.callers().sendKeyed(Purpose.SUBJECT, 0, "order-3");
    }
  },
  /** A plain call with an idempotency key is sent again after it was answered. */
  PLAIN_KEYED_REPEATED("non-idempotent call with key, repeated") {
    @Override
    void start(World world) {
      world.callers().sendKeyed(Purpose.SUBJECT, 0, "order-1");
      world.run(VirtualTime.SECOND);
      world.callers().sendKeyed(Purpose.SUBJECT, 1, "order-1");
    }
  },
  /** A plain call that must not run twice, without an idempotency key. */
  PLAIN_UNKEYED("non-idempotent call without key") {
    @Override
    void start(World world) {
      world.callers().sendPlain(Purpose.SUBJECT, 0, Configurations.ORDER);
    }
  },
  /** A request that no rule matches. */
  REFUSED("refused request") {
    @Override
    void start(World world) {
      world.callers().sendCompletion(Purpose.SUBJECT, 0, new ModelName("unknown"));
    }
  },
  /** An operator marks an upstream as leaving while requests arrive. */
  CONFIGURATION("configuration change") {
    @Override
    void start(World world) {
      world.changeConfiguration(0, Optional.of(new UpstreamName("decode-b")));
      sendRounds(world, Purpose.SUBJECT);
    }
  },
  /** A node dies and is replaced while requests arrive. */
  MEMBERSHIP("membership change") {
    @Override
    void start(World world) {
      world.killNode(World.NODES - 1);
      sendRounds(world, Purpose.SUBJECT);
    }
  },
  /** A node is stopped as planned while it has requests in progress. */
  PLANNED_STOP("planned stop") {
    @Override
    void start(World world) {
      sendCompletion(world, Purpose.SUBJECT);
      world.callers().sendPlain(Purpose.SUBJECT, 0, Configurations.READ);
      world.callers().sendKeyed(Purpose.SUBJECT, 0, "order-1");
      world.run(STOP_DELAY_NANOS);
      world.stopNode(0);
    }
  };

  private static final long MID_DECODE_NANOS = 170 * VirtualTime.MILLI;
  private static final long DOWNTIME_NANOS = 2 * VirtualTime.SECOND;
  private static final long STOP_DELAY_NANOS = 30 * VirtualTime.MILLI;
  private static final long ROUND_INTERVAL_NANOS = 400 * VirtualTime.MILLI;
  private static final int ROUNDS = 20;

  private final String title;

  Scenario(String title) {
    this.title = title;
  }

  /**
   * Returns the name of the scenario as shown on the results page.
   *
   * @return a short phrase
   */
  public String title() {
    return title;
  }

  /** Starts the scenario and advances the virtual time as far as its operations need. */
  abstract void start(World world);

  private static RequestId sendCompletion(World world, Purpose purpose) {
    return world.callers().sendCompletion(purpose, 0, Configurations.MODEL);
  }

  private static void sendRounds(World world, Purpose purpose) {
    for (int i = 0; i < ROUNDS; i++) {
      world.callers().sendCompletion(purpose, i, Configurations.MODEL);
      world.callers().sendPlain(purpose, i, Configurations.READ);
      world.run(ROUND_INTERVAL_NANOS);
    }
  }
}
