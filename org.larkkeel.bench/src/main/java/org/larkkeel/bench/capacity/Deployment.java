/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.capacity;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Optional;
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
import org.larkkeel.config.Urgency;
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
 * The size of a deployment, from which configurations are generated: half of the upstreams prefill
 * and half decode, old and new generations alternate, and models are spread evenly.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param upstreams the number of engines, a multiple of {@code 2 * models}
 * @param workspaces the number of workspaces, at least 1
 * @param models the number of models, at least 1
 */
record Deployment(int upstreams, int workspaces, int models) {
  private static final int DATA_CENTRES = 6;
  private static final int SLOTS = 20;
  private static final Limits LIMITS = new Limits(100_000, 500_000_000, 100_000);

  /** The target size of the capacity page: 600 runners, 3,900 workspaces, 10 models. */
  static final Deployment TARGET = new Deployment(600, 3_900, 10);

  static ModelName model(int index) {
    return new ModelName("model-" + index);
  }

  static WorkspaceName workspace(int index) {
    return new WorkspaceName("workspace-" + index);
  }

  Configuration configuration(Revision revision) {
    return new Configuration(revision, upstreamMap(), pools(), rules(), workspaceMap());
  }

  private ImmutableSortedMap<UpstreamName, Upstream> upstreamMap() {
    ImmutableSortedMap.Builder<UpstreamName, Upstream> all = ImmutableSortedMap.naturalOrder();
    for (int i = 0; i < upstreams; i++) {
      Upstream upstream = upstream(i);
      all.put(upstream.name(), upstream);
    }
    return all.buildOrThrow();
  }

  private Upstream upstream(int index) {
    String role = index % 2 == 0 ? "prefill" : "decode";
    String generation = index / 2 % 2 == 0 ? "old" : "new";
    int model = index / 2 % models;
    return new Upstream(
        new UpstreamName("engine-" + index),
        "10.0." + index / 250 + "." + (1 + index % 250) + ":8000",
        Labels.of(
            ImmutableMap.of(
                "role",
                role,
                "gen",
                generation,
                "model",
                model(model).value(),
                Upstream.DATA_CENTRE_LABEL,
                "dc-" + index % DATA_CENTRES)),
        ImmutableSet.of(model(model)),
        SLOTS,
        FencingSupport.CHECKED,
        Upstream.DEFAULT_LINK_BYTES_PER_SECOND);
  }

  private ImmutableSortedMap<PoolName, Pool> pools() {
    ImmutableSortedMap.Builder<PoolName, Pool> all = ImmutableSortedMap.naturalOrder();
    for (int i = 0; i < models; i++) {
      for (Role role : ImmutableList.of(Role.PREFILL, Role.DECODE)) {
        Pool pool = pool(i, role);
        all.put(pool.name(), pool);
      }
    }
    return all.buildOrThrow();
  }

  private static Pool pool(int model, Role role) {
    String name = role == Role.PREFILL ? "prefill" : "decode";
    String selector = "role=" + name + ", model=" + model(model);
    return new Pool(
        new PoolName(model(model) + "-" + name),
        role,
        Labels.of(ImmutableMap.of("model", model(model).value())),
        Selector.parse(selector));
  }

  private ImmutableSortedMap<RuleName, Rule> rules() {
    ImmutableSortedMap.Builder<RuleName, Rule> all = ImmutableSortedMap.naturalOrder();
    for (int i = 0; i < models; i++) {
      RuleName name = new RuleName("rule-" + i);
      all.put(name, rule(name, model(i)));
    }
    return all.buildOrThrow();
  }

  private static Rule rule(RuleName name, ModelName model) {
    return new Rule(
        name,
        Labels.NONE,
        0,
        new Match(Optional.of(model), Optional.empty(), Selector.ALL),
        Selector.parse("model=" + model),
        Urgency.PATIENT,
        Targets.DEFAULT,
        Repeatability.IDEMPOTENT,
        Rule.DEFAULT_MAX_ATTEMPTS);
  }

  private ImmutableSortedMap<WorkspaceName, Workspace> workspaceMap() {
    ImmutableSortedMap.Builder<WorkspaceName, Workspace> all = ImmutableSortedMap.naturalOrder();
    for (int i = 0; i < workspaces; i++) {
      WorkspaceName name = workspace(i);
      all.put(name, new Workspace(name, Labels.NONE, LIMITS, Optional.empty()));
    }
    return all.buildOrThrow();
  }
}
