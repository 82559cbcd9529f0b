/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.policy;

import com.google.common.collect.ImmutableList;
import java.util.Optional;
import org.larkkeel.lib.DataCentreName;
import org.larkkeel.router.Router;
import org.larkkeel.router.RouterSettings;

/**
 * Creates the policies by name: those of the router, and the naive baselines of this module.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class RoutingPolicies {
  /** Baseline with a random upstream, no reservation and blind retries; see {@link NaiveRouter}. */
  public static final String NAIVE_RANDOM = "naive-random";

  /** Baseline like {@link #NAIVE_RANDOM}, but with the upstream with the fewest requests. */
  public static final String NAIVE_LEAST = "naive-least-outstanding";

  private static final ImmutableList<String> NAMES =
      ImmutableList.<String>builder()
          .addAll(RouterSettings.NAMES)
          .add(NAIVE_RANDOM, NAIVE_LEAST)
          .build();

  private RoutingPolicies() {}

  /**
   * The properties of the node on which a router runs.
   *
   * @param seed the seed of the router's random choices
   * @param dataCentre the data centre of the node
   * @param sharedSlots true if slots are granted by their owners
   */
  public record NodeContext(long seed, String dataCentre, boolean sharedSlots) {}

  /** Creates the routers of nodes. */
  @FunctionalInterface
  public interface Factory {
    /**
     * Creates a router.
     *
     * @param node the node of the router
     * @return the router
     */
    RoutingPolicy create(NodeContext node);
  }

  /**
   * Returns the names of all policies.
   *
   * @return the names
   */
  public static ImmutableList<String> names() {
    return NAMES;
  }

  /**
   * Creates a router.
   *
   * @param name one of {@link #names}
   * @param node the node of the router
   * @return a new router
   * @throws IllegalArgumentException if there is no such policy
   */
  public static RoutingPolicy create(String name, NodeContext node) {
    return switch (name) {
      case NAIVE_RANDOM -> new NaiveRouter(SelectionStrategy.RANDOM, node.seed());
      case NAIVE_LEAST -> new NaiveRouter(SelectionStrategy.LEAST_OUTSTANDING, node.seed());
      default -> router(name, node);
    };
  }

  private static RoutingPolicy router(String name, NodeContext node) {
    RouterSettings settings =
        RouterSettings.named(name)
            .sharedSlots(node.sharedSlots())
            .dataCentre(Optional.of(new DataCentreName(node.dataCentre())))
            .build();
    Router router = new Router(settings, node.seed());
    return router::apply;
  }
}
