/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.call.Call;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Pool;
import org.larkkeel.config.Role;
import org.larkkeel.config.Rule;
import org.larkkeel.lib.ModelName;

/**
 * The routes in use.
 *
 * <p>Invariant: at most one route for each pair of a rule and a declared model. Not safe for use by
 * several threads.
 *
 * @since 0.1
 */
public final class Routes {
  private final Context context;
  private final UpstreamTable upstreams;
  private final RuleIndex rules = new RuleIndex();
  private final Map<Route.Key, Route> routes = new HashMap<>();
  private Configuration current = Configuration.EMPTY;

  /**
   * Creates an empty table.
   *
   * @param context the shared state of the router
   * @param upstreams the upstreams
   */
  public Routes(Context context, UpstreamTable upstreams) {
    this.context = context;
    this.upstreams = upstreams;
  }

  /**
   * Applies a configuration, which the table of upstreams must have applied before.
   *
   * @param next the configuration
   * @return the removed routes, whose rule or model no longer exists; their requests must be
   *     rerouted
   */
  public List<Route> apply(Configuration next) {
    current = next;
    rules.apply(next);
    List<Route> removed = new ArrayList<>();
    for (Route route : routes.values()) {
      Rule rule = next.rules().get(route.key.rule());
      if (rule == null || !route.key.model().map(upstreams::isDeclared).orElse(true)) {
        removed.add(route);
      } else {
        update(route, rule);
        upstreams.markReady(route);
      }
    }
    for (Route route : removed) {
      routes.remove(route.key);
      route.detach();
    }
    upstreams.removeUnusedSets();
    return removed;
  }

  /**
   * Returns the rule that matches a request.
   *
   * @param call the request
   * @return the rule; empty if none matches
   */
  public Optional<Rule> rule(Call call) {
    return rules.find(call);
  }

  /**
   * Returns the route of a request; creates it if needed.
   *
   * @param call the request
   * @param rule the rule of the request
   * @return the route; empty if no upstream is declared for its model
   */
  public Optional<Route> route(Call call, Rule rule) {
    Optional<ModelName> model =
        switch (call) {
          case Call.Completion completion -> Optional.of(completion.model());
          case Call.Plain plain -> Optional.empty();
        };
    if (!model.map(upstreams::isDeclared).orElse(true)) {
      return Optional.empty();
    }
    Route.Key key = new Route.Key(rule.name(), model);
    Route route = routes.get(key);
    if (route == null) {
      route = new Route(key, rule, context.settings().defaultOutputTokens());
      update(route, rule);
      routes.put(key, route);
    }
    return Optional.of(route);
  }

  /**
   * Returns the pools that a rule selects.
   *
   * @param rule the rule
   * @return the pools, ordered by name
   */
  public List<Pool> pools(Rule rule) {
    return current.pools().values().stream().filter(p -> rule.pools().matches(p.labels())).toList();
  }

  /**
   * Returns all routes.
   *
   * @return the routes, in no order
   */
  public Collection<Route> all() {
    return routes.values();
  }

  /**
   * Returns the interactive routes without upstreams, whose requests must not wait for a new one.
   *
   * @return the routes
   */
  public List<Route> interactiveWithoutUpstreams() {
    return routes.values().stream().filter(r -> r.isInteractive() && !r.hasUpstreams()).toList();
  }

  private void update(Route route, Rule rule) {
    List<Pool> pools = pools(rule);
    Optional<ModelName> model = route.key.model();
    route.update(
        rule,
        upstreams.candidates(Role.PREFILL, pools, model),
        upstreams.candidates(Role.DECODE, pools, model),
        upstreams.candidates(Role.SERVICE, pools, Optional.empty()));
  }
}
