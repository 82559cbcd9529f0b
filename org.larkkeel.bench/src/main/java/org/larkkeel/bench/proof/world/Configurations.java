/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.bench.proof.world;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.collect.Sets;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Locale;
import java.util.Map;
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
 * The configurations of the simulated cluster: two prefill engines, three decode engines and two
 * services.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Configurations {
  /** The model of every completion. */
  public static final ModelName MODEL = new ModelName("notes");

  /** The workspace of every caller. */
  public static final WorkspaceName WORKSPACE = new WorkspaceName("weavers");

  /** The path of calls that may run more than once. */
  public static final String READ = "/read";

  /** The path of calls that must not run twice. */
  public static final String ORDER = "/order";

  static final int SLOTS = 4;

  private static final Targets TARGETS =
      new Targets(Duration.ofSeconds(3), Duration.ofMillis(200), Duration.ofSeconds(12));
  private static final Limits LIMITS = new Limits(10_000, 100_000_000, 3_000);
  private static final int ATTEMPTS = 4;

  private Configurations() {}

  /**
   * Returns the upstreams and their roles.
   *
   * @return the roles by upstream name, in the order of the names
   */
  static ImmutableSortedMap<UpstreamName, Role> upstreams() {
    return ImmutableSortedMap.<UpstreamName, Role>naturalOrder()
        .put(new UpstreamName("decode-a"), Role.DECODE)
        .put(new UpstreamName("decode-b"), Role.DECODE)
        .put(new UpstreamName("decode-c"), Role.DECODE)
        .put(new UpstreamName("prefill-a"), Role.PREFILL)
        .put(new UpstreamName("prefill-b"), Role.PREFILL)
        .put(new UpstreamName("service-a"), Role.SERVICE)
        .put(new UpstreamName("service-b"), Role.SERVICE)
        .build();
  }

  /**
   * Returns the roles that are served while some upstreams are leaving.
   *
   * @param leaving the leaving upstreams
   * @return the roles of the remaining upstreams
   */
  public static ImmutableSet<Role> rolesWithout(Collection<UpstreamName> leaving) {
    return upstreams().entrySet().stream()
        .filter(e -> !leaving.contains(e.getKey()))
        .map(Map.Entry::getValue)
        .collect(Sets.toImmutableEnumSet());
  }

  /** Returns the configuration in which the given upstreams are leaving. */
  static Configuration withLeaving(Collection<UpstreamName> leaving) {
    ImmutableSortedMap.Builder<UpstreamName, Upstream> upstreams =
        ImmutableSortedMap.naturalOrder();
    upstreams()
        .forEach((name, role) -> upstreams.put(name, upstream(name, role, leaving.contains(name))));
    Workspace workspace =
        new Workspace(WORKSPACE, labels(ImmutableSortedMap.of()), LIMITS, Optional.empty());
    return new Configuration(
        Revision.NONE,
        upstreams.build(),
        pools(),
        rules(),
        ImmutableSortedMap.of(WORKSPACE, workspace));
  }

  private static Upstream upstream(UpstreamName name, Role role, boolean leaving) {
    ImmutableSortedMap.Builder<String, String> labels = ImmutableSortedMap.naturalOrder();
    labels.put("role", slug(role));
    if (leaving) {
      labels.put(Upstream.PHASE_LABEL, Upstream.PHASE_LEAVING);
    }
    return new Upstream(
        name,
        "127.0.0.1:1",
        labels(labels.build()),
        role == Role.SERVICE ? ImmutableSet.of() : ImmutableSet.of(MODEL),
        SLOTS,
        FencingSupport.CHECKED,
        Upstream.DEFAULT_LINK_BYTES_PER_SECOND);
  }

  private static ImmutableSortedMap<PoolName, Pool> pools() {
    ImmutableSortedMap.Builder<PoolName, Pool> pools = ImmutableSortedMap.naturalOrder();
    for (Role role : Role.values()) {
      PoolName name = new PoolName(slug(role));
      Selector members = Selector.parse("role=" + slug(role));
      pools.put(name, new Pool(name, role, labels(ImmutableSortedMap.of()), members));
    }
    return pools.build();
  }

  private static ImmutableSortedMap<RuleName, Rule> rules() {
    ImmutableSortedMap.Builder<RuleName, Rule> rules = ImmutableSortedMap.naturalOrder();
    Match model = new Match(Optional.of(MODEL), Optional.empty(), Selector.ALL);
    Match read = new Match(Optional.empty(), Optional.of(READ), Selector.ALL);
    Match order = new Match(Optional.empty(), Optional.of(ORDER), Selector.ALL);
    List<Rule> all =
        List.of(
            rule("model", model, Repeatability.IDEMPOTENT),
            rule("order", order, Repeatability.NON_IDEMPOTENT),
            rule("read", read, Repeatability.IDEMPOTENT));
    all.forEach(rule -> rules.put(rule.name(), rule));
    return rules.build();
  }

  private static Rule rule(String name, Match match, Repeatability repeatability) {
    return new Rule(
        new RuleName(name),
        labels(ImmutableSortedMap.of()),
        0,
        match,
        Selector.ALL,
        Urgency.PATIENT,
        TARGETS,
        repeatability,
        ATTEMPTS);
  }

  private static Labels labels(ImmutableSortedMap<String, String> values) {
    return Labels.of(values);
  }

  private static String slug(Role role) {
    return role.name().toLowerCase(Locale.ROOT);
  }
}
