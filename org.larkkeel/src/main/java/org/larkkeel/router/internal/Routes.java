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
 * <p>Invariant: at most one route a rule and declared model. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class Routes {
  private final Context context;
  private final Fleet fleet;
  private final RuleIndex rules = new RuleIndex();
  private final Map<Route.Key, Route> routes = new HashMap<>();
  private Configuration current = Configuration.EMPTY;

  /**
   * Creates a table without routes.
   *
   * @param context what the parts of the router share
   * @param fleet the upstreams
   */
  public Routes(Context context, Fleet fleet) {
    this.context = context;
    this.fleet = fleet;
  }

  /**
   * Takes a configuration that the fleet has taken.
   *
   * @param next the configuration
   * @return routes whose rule is gone; their requests have to be routed anew
   */
  public List<Route> apply(Configuration next) {
    current = next;
    rules.apply(next);
    List<Route> gone = new ArrayList<>();
    for (Route route : routes.values()) {
      Rule rule = next.rules().get(route.key.rule());
      if (rule == null || !route.key.model().map(fleet::knows).orElse(true)) {
        gone.add(route);
      } else {
        update(route, rule);
        fleet.ready(route);
      }
    }
    for (Route route : gone) {
      routes.remove(route.key);
      route.detach();
    }
    fleet.prune();
    return gone;
  }

  /**
   * Finds the rule that takes a request.
   *
   * @param call the request
   * @return the rule; empty if none does
   */
  public Optional<Rule> rule(Call call) {
    return rules.find(call);
  }

  /**
   * Finds the route of a request.
   *
   * @param call the request
   * @param rule its rule
   * @return the route; empty if no upstream is declared for its model
   */
  public Optional<Route> route(Call call, Rule rule) {
    Optional<ModelName> model =
        switch (call) {
          case Call.Completion completion -> Optional.of(completion.model());
          case Call.Plain plain -> Optional.empty();
        };
    if (!model.map(fleet::knows).orElse(true)) {
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
   * The pools of a rule.
   *
   * @param rule the rule
   * @return the pools in order of name
   */
  public List<Pool> pools(Rule rule) {
    return current.pools().values().stream().filter(p -> rule.pools().matches(p.labels())).toList();
  }

  /**
   * All routes.
   *
   * @return the routes, in no order
   */
  public Collection<Route> all() {
    return routes.values();
  }

  /**
   * The interactive routes without upstreams, whose requests must not wait for one to come.
   *
   * @return the routes
   */
  public List<Route> stranded() {
    return routes.values().stream().filter(r -> r.isInteractive() && !r.hasUpstreams()).toList();
  }

  private void update(Route route, Rule rule) {
    List<Pool> pools = pools(rule);
    Optional<ModelName> model = route.key.model();
    route.update(
        rule,
        fleet.candidates(Role.PREFILL, pools, model),
        fleet.candidates(Role.DECODE, pools, model),
        fleet.candidates(Role.SERVICE, pools, Optional.empty()));
  }
}
