/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router;

import com.google.common.collect.ImmutableSet;
import com.google.common.collect.ImmutableSortedMap;
import com.google.common.primitives.ImmutableLongArray;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.larkkeel.call.Call;
import org.larkkeel.call.PrefixKeys;
import org.larkkeel.call.RunKey;
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
import org.larkkeel.lib.IdempotencyKey;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.PoolName;
import org.larkkeel.lib.RequestId;
import org.larkkeel.lib.Revision;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.UpstreamName;
import org.larkkeel.lib.WorkspaceName;
import org.larkkeel.selector.Selector;

/** Configurations and calls for tests of the router. */
final class Fixtures {
  static final ModelName MODEL = new ModelName("notes");
  static final WorkspaceName WORKSPACE = new WorkspaceName("weavers");
  static final Targets TARGETS =
      new Targets(Duration.ofSeconds(2), Duration.ofMillis(100), Duration.ofSeconds(10));

  private Fixtures() {}

  static Upstream engine(String name, String role, int slots) {
    return new Upstream(
        new UpstreamName(name),
        "127.0.0.1:1",
        Labels.of(ImmutableSortedMap.of("role", role)),
        ImmutableSet.of(MODEL),
        slots,
        FencingSupport.IGNORED,
        Upstream.DEFAULT_LINK_BYTES_PER_SECOND);
  }

  static Pool pool(String name, Role role) {
    return new Pool(new PoolName(name), role, Labels.NONE, Selector.parse("role=" + name));
  }

  static Rule rule(String name, Match match, Urgency urgency, Repeatability repeatability) {
    return new Rule(
        new RuleName(name),
        Labels.NONE,
        0,
        match,
        Selector.ALL,
        urgency,
        TARGETS,
        repeatability,
        3);
  }

  static Match ofModel(ModelName model) {
    return new Match(Optional.of(model), Optional.empty(), Selector.ALL);
  }

  static Match ofPath(String prefix) {
    return new Match(Optional.empty(), Optional.of(prefix), Selector.ALL);
  }

  static Configuration configuration(long revision, Upstream... upstreams) {
    return configuration(revision, Urgency.PATIENT, List.of(upstreams));
  }

  static Configuration configuration(long revision, Urgency urgency, List<Upstream> upstreams) {
    Rule model = rule("model", ofModel(MODEL), urgency, Repeatability.BY_METHOD);
    Rule read = rule("read", ofPath("/read"), urgency, Repeatability.IDEMPOTENT);
    Rule order = rule("order", ofPath("/order"), urgency, Repeatability.NON_IDEMPOTENT);
    return new Configuration(
        new Revision(revision),
        byName(upstreams, Upstream::name),
        byName(
            List.of(
                pool("prefill", Role.PREFILL),
                pool("decode", Role.DECODE),
                pool("service", Role.SERVICE)),
            Pool::name),
        byName(List.of(model, read, order), Rule::name),
        ImmutableSortedMap.of());
  }

  static Configuration withLimits(Configuration configuration, Limits limits) {
    Workspace workspace = new Workspace(WORKSPACE, Labels.NONE, limits, Optional.empty());
    return new Configuration(
        configuration.revision(),
        configuration.upstreams(),
        configuration.pools(),
        configuration.rules(),
        ImmutableSortedMap.of(WORKSPACE, workspace));
  }

  static Call.Completion completion(long id) {
    return completion(id, WORKSPACE, 4_000, PrefixKeys.NONE);
  }

  static Call.Completion completion(
      long id, WorkspaceName workspace, int prompt, PrefixKeys prefixes) {
    return new Call.Completion(
        new RequestId(id), workspace, Optional.empty(), MODEL, prompt, 100, prefixes, 0);
  }

  static Call.Plain plain(long id, String path, Optional<RunKey> key) {
    return new Call.Plain(new RequestId(id), WORKSPACE, key, path, false, 0);
  }

  static Optional<RunKey> key(String key) {
    return Optional.of(new RunKey(new IdempotencyKey(key), 7));
  }

  static PrefixKeys prefixes(long... keys) {
    return new PrefixKeys(ImmutableLongArray.copyOf(keys));
  }

  static <K extends Comparable<K>, V> ImmutableSortedMap<K, V> byName(
      List<V> values, Function<V, K> name) {
    ImmutableSortedMap.Builder<K, V> builder = ImmutableSortedMap.naturalOrder();
    values.forEach(v -> builder.put(name.apply(v), v));
    return builder.build();
  }
}
