/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * The ranks that the calls of each service can have under one configuration, which decide where
 * ranks take effect.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class ServiceRanks {
  private final ImmutableSet<ServiceName> ranked;
  private final boolean workspacesHavePriorities;

  /** The least urgent rank of each service that a rule routes to. */
  private final ImmutableMap<ServiceName, CallRank> lowest;

  ServiceRanks(Iterable<RelayRule> rules, Workspaces workspaces) {
    Optional<Integer> lowestWorkspace = workspaces.priorities().stream().max(Integer::compare);
    final boolean anyWithoutPriority = workspaces.mayLackPriority();
    Map<ServiceName, Integer> firstPriority = new HashMap<>();
    Set<ServiceName> withSeveral = new HashSet<>();
    Map<ServiceName, CallRank> lowestByService = new HashMap<>();
    for (RelayRule rule : rules) {
      CallRank rank = CallRank.of(OptionalInt.empty(), rule.priority());
      for (RelayRule.Share share : rule.split()) {
        Integer other = firstPriority.putIfAbsent(share.service(), rule.priority());
        if (other != null && other != rule.priority()) {
          withSeveral.add(share.service());
        }
        if (anyWithoutPriority || rule.anonymous()) {
          lowestByService.merge(share.service(), rank, ServiceRanks::lessUrgent);
        }
        lowestWorkspace.ifPresent(
            p ->
                lowestByService.merge(
                    share.service(),
                    CallRank.of(OptionalInt.of(p), rule.priority()),
                    ServiceRanks::lessUrgent));
      }
    }
    ranked = ImmutableSet.copyOf(withSeveral);
    workspacesHavePriorities = lowestWorkspace.isPresent();
    lowest = ImmutableMap.copyOf(lowestByService);
  }

  private static CallRank lessUrgent(CallRank a, CallRank b) {
    return a.isMoreUrgentThan(b) ? b : a;
  }

  /**
   * Returns whether a service is ranked: whether the rules that route to it name at least two
   * different priorities.
   */
  public boolean isRanked(ServiceName service) {
    return ranked.contains(service);
  }

  /**
   * Returns whether the calls of a service are ordered by rank: whether it is ranked, or workspaces
   * name priorities.
   */
  public boolean isOrdered(ServiceName service) {
    return workspacesHavePriorities || isRanked(service);
  }

  /**
   * Returns the rank by which a call is ordered among those of its service: its own, but at most
   * the least urgent one of the service, so that calls of unknown rank do not form a rank of their
   * own; the same rank for all calls of a service that is not ordered by rank.
   */
  public CallRank orderingRank(ServiceName service, CallRank rank) {
    if (!isOrdered(service)) {
      return CallRank.LOWEST;
    }
    CallRank floor = lowest.getOrDefault(service, CallRank.LOWEST);
    return floor.isMoreUrgentThan(rank) ? floor : rank;
  }

  /**
   * Returns whether a call is more urgent than the least urgent calls of its service; false in a
   * service that is not ordered by rank.
   */
  public boolean isUrgent(ServiceName service, CallRank rank) {
    return isOrdered(service)
        && rank.isMoreUrgentThan(lowest.getOrDefault(service, CallRank.LOWEST));
  }
}
