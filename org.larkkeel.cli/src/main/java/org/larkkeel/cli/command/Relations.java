/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.cli.command;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.function.Predicate;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.ConfigurationObject;
import org.larkkeel.config.ObjectKind;
import org.larkkeel.config.Pool;
import org.larkkeel.config.Rule;
import org.larkkeel.config.Upstream;
import org.larkkeel.config.Workspace;

/** Finds which objects select which others. Stateless and safe for use by several threads. */
final class Relations {
  private Relations() {}

  static ImmutableList<String> upstreamsOf(Configuration configuration, Pool pool) {
    return names(configuration.upstreams(), pool::contains);
  }

  /** Returns the names of the objects that an object selects or is selected by, by kind. */
  static ImmutableSortedMap<ObjectKind, ImmutableList<String>> relatedTo(
      Configuration configuration, ConfigurationObject object) {
    return switch (object) {
      case Upstream upstream ->
          ImmutableSortedMap.of(
              ObjectKind.POOL, names(configuration.pools(), p -> p.contains(upstream)));
      case Pool pool ->
          ImmutableSortedMap.of(
              ObjectKind.UPSTREAM,
              upstreamsOf(configuration, pool),
              ObjectKind.RULE,
              names(configuration.rules(), r -> r.pools().matches(pool.labels())));
      case Rule rule ->
          ImmutableSortedMap.of(
              ObjectKind.POOL,
              names(configuration.pools(), p -> rule.pools().matches(p.labels())),
              ObjectKind.WORKSPACE,
              names(
                  configuration.workspaces(), w -> rule.match().workspaces().matches(w.labels())));
      case Workspace workspace ->
          ImmutableSortedMap.of(
              ObjectKind.RULE,
              names(
                  configuration.rules(), r -> r.match().workspaces().matches(workspace.labels())));
    };
  }

  private static <K, T> ImmutableList<String> names(
      ImmutableSortedMap<K, T> objects, Predicate<T> related) {
    return objects.entrySet().stream()
        .filter(entry -> related.test(entry.getValue()))
        .map(entry -> entry.getKey().toString())
        .collect(ImmutableList.toImmutableList());
  }
}
