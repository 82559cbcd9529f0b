/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.experiment.fake;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.time.Duration;
import java.util.Optional;
import org.larkkeel.bench.experiment.scenario.Members;
import org.larkkeel.bench.experiment.scenario.Members.Member;
import org.larkkeel.bench.experiment.scenario.Scenario;
import org.larkkeel.bench.experiment.scenario.Scenario.RequestClass;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.config.Limits;
import org.larkkeel.config.Match;
import org.larkkeel.config.Pool;
import org.larkkeel.config.Repeatability;
import org.larkkeel.config.Role;
import org.larkkeel.config.Rule;
import org.larkkeel.config.Targets;
import org.larkkeel.config.Upstream;
import org.larkkeel.config.Workspace;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.selector.Selector;

/**
 * Builds the configuration that an operator would apply for a scenario.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
final class ScenarioConfiguration {
  private static final String USE = "use";
  private static final String MODELS = "models";
  private static final String CALLS = "calls";
  private static final int HOSTS_PER_SUBNET = 250;

  private ScenarioConfiguration() {}

  static Configuration of(Scenario scenario) {
    ImmutableSortedMap.Builder<RuleName, Rule> rules = ImmutableSortedMap.naturalOrder();
    ImmutableSortedMap.Builder<WorkspaceName, Workspace> workspaces =
        ImmutableSortedMap.naturalOrder();
    for (RequestClass kind : scenario.classes()) {
      if (kind.plain()) {
        addRule(rules, rule(kind, "/once", Repeatability.NON_IDEMPOTENT));
        addRule(rules, rule(kind, "/read", Repeatability.BY_METHOD));
      } else {
        addRule(rules, rule(kind, "", Repeatability.IDEMPOTENT));
      }
      for (int i = 0; i < kind.workspaces(); i++) {
        WorkspaceName name = new WorkspaceName(kind.name() + "-w" + i);
        workspaces.put(name, new Workspace(name, labels(), Limits.NONE, Optional.empty()));
      }
    }
    return new Configuration(
        new Revision(1), upstreams(scenario), pools(), rules.build(), workspaces.build());
  }

  private static void addRule(ImmutableSortedMap.Builder<RuleName, Rule> rules, Rule rule) {
    rules.put(rule.name(), rule);
  }

  private static Rule rule(RequestClass kind, String path, Repeatability repeatability) {
    Optional<ModelName> model =
        kind.plain() ? Optional.empty() : Optional.of(new ModelName(kind.name()));
    Optional<String> prefix =
        kind.plain() ? Optional.of("/" + kind.name() + path) : Optional.empty();
    Targets targets =
        new Targets(
            Duration.ofNanos(kind.firstToken()),
            Duration.ofNanos(kind.betweenTokens()),
            Duration.ofNanos(kind.deadline()));
    return new Rule(
        new RuleName(kind.name() + path),
        labels(),
        0,
        new Match(model, prefix, Selector.ALL),
        Selector.parse(USE + "=" + (kind.plain() ? CALLS : MODELS)),
        kind.urgency(),
        targets,
        repeatability,
        Rule.DEFAULT_MAX_ATTEMPTS);
  }

  private static ImmutableSortedMap<PoolName, Pool> pools() {
    ImmutableSortedMap.Builder<PoolName, Pool> pools = ImmutableSortedMap.naturalOrder();
    for (Role role : Role.values()) {
      PoolName name = new PoolName(slug(role));
      Labels use = Labels.of(ImmutableMap.of(USE, role == Role.SERVICE ? CALLS : MODELS));
      pools.put(name, new Pool(name, role, use, Selector.parse("role=" + slug(role))));
    }
    return pools.build();
  }

  private static ImmutableSortedMap<UpstreamName, Upstream> upstreams(Scenario scenario) {
    ImmutableSet<ModelName> models =
        scenario.classes().stream()
            .filter(kind -> !kind.plain())
            .map(kind -> new ModelName(kind.name()))
            .collect(ImmutableSet.toImmutableSet());
    ImmutableSortedMap.Builder<UpstreamName, Upstream> upstreams =
        ImmutableSortedMap.naturalOrder();
    int number = 0;
    for (Member member : Members.all(scenario)) {
      UpstreamName name = new UpstreamName(member.name());
      Role role = member.group().role();
      upstreams.put(
          name,
          new Upstream(
              name,
              "10.0." + number / HOSTS_PER_SUBNET + "." + (1 + number % HOSTS_PER_SUBNET) + ":8000",
              memberLabels(member),
              role == Role.SERVICE ? ImmutableSet.of() : models,
              member.group().slots(),
              FencingSupport.CHECKED,
              member.group().linkBytesPerSecond()));
      number++;
    }
    return upstreams.build();
  }

  private static Labels memberLabels(Member member) {
    return Labels.of(
        ImmutableMap.of(
            Upstream.DATA_CENTRE_LABEL,
            member.dataCentre(),
            "gen",
            member.group().generation(),
            "role",
            slug(member.group().role())));
  }

  private static Labels labels() {
    return Labels.of(ImmutableMap.of());
  }

  private static String slug(Role role) {
    return role.name().toLowerCase(java.util.Locale.ROOT);
  }
}
