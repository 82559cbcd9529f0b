/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.jmh;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import java.util.Optional;
import org.larkkeel.call.Call;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.FencingSupport;
import org.larkkeel.config.Match;
import org.larkkeel.config.Pool;
import org.larkkeel.config.Repeatability;
import org.larkkeel.config.Role;
import org.larkkeel.config.Rule;
import org.larkkeel.config.Targets;
import org.larkkeel.config.Upstream;
import org.larkkeel.config.Urgency;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.selector.Selector;

/**
 * Configurations and calls for the benchmarks. Half of the upstreams prefill and half decode.
 * Stateless and safe for use by several threads.
 */
final class BenchConfigurations {
  private static final ModelName MODEL = new ModelName("notes");
  private static final WorkspaceName WORKSPACE = new WorkspaceName("weavers");
  private static final int SLOTS = 20;
  private static final int PROMPT_TOKENS = 4_000;
  private static final int OUTPUT_TOKENS = 200;
  private static final int DATA_CENTRES = 6;
  private static final RuleName RULE = new RuleName("model");

  private BenchConfigurations() {}

  static Configuration configuration(int upstreams, long revision) {
    ImmutableSortedMap.Builder<UpstreamName, Upstream> all = ImmutableSortedMap.naturalOrder();
    for (int i = 0; i < upstreams; i++) {
      Upstream upstream = upstream(i, i % 4 < 2 ? "old" : "new");
      all.put(upstream.name(), upstream);
    }
    return new Configuration(
        new Revision(revision),
        all.build(),
        ImmutableSortedMap.of(
            new PoolName("decode"), pool("decode", Role.DECODE),
            new PoolName("prefill"), pool("prefill", Role.PREFILL)),
        ImmutableSortedMap.of(RULE, rule()),
        ImmutableSortedMap.of());
  }

  /**
   * Returns the configuration with another generation label on one upstream and the next revision.
   */
  static Configuration relabelled(Configuration before, int upstream, String generation) {
    Upstream changed = upstream(upstream, generation);
    ImmutableSortedMap.Builder<UpstreamName, Upstream> all = ImmutableSortedMap.naturalOrder();
    before.upstreams().forEach((n, u) -> all.put(n, n.equals(changed.name()) ? changed : u));
    return new Configuration(
        new Revision(before.revision().value() + 1),
        all.build(),
        before.pools(),
        before.rules(),
        before.workspaces());
  }

  static Call.Completion call(long id) {
    return new Call.Completion(
        new RequestId(id),
        WORKSPACE,
        Optional.empty(),
        MODEL,
        PROMPT_TOKENS,
        OUTPUT_TOKENS,
        PrefixKeys.NONE,
        0);
  }

  private static Upstream upstream(int number, String generation) {
    String role = number % 2 == 0 ? "prefill" : "decode";
    return new Upstream(
        new UpstreamName("u" + number),
        "127.0.0.1:1",
        Labels.of(
            ImmutableSortedMap.of(
                "dc", "dc" + number % DATA_CENTRES, "gen", generation, "role", role)),
        ImmutableSet.of(MODEL),
        SLOTS,
        FencingSupport.IGNORED,
        Upstream.DEFAULT_LINK_BYTES_PER_SECOND);
  }

  private static Pool pool(String role, Role poolRole) {
    return new Pool(
        new PoolName(role),
        poolRole,
        Labels.NONE,
        Selector.parse("gen in (old, new), role=" + role));
  }

  private static Rule rule() {
    return new Rule(
        RULE,
        Labels.NONE,
        0,
        new Match(Optional.of(MODEL), Optional.empty(), Selector.ALL),
        Selector.ALL,
        Urgency.PATIENT,
        Targets.DEFAULT,
        Repeatability.BY_METHOD,
        Rule.DEFAULT_MAX_ATTEMPTS);
  }
}
