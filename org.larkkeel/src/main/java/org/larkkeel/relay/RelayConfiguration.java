/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Comparator;
import java.util.IntSummaryStatistics;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Stream;

/**
 * One revision of the routing rules and their limits.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class RelayConfiguration {
  private final long revision;
  private final ImmutableListMultimap<String, RelayRule> byHost;
  private final ImmutableMap<ServiceName, ServiceBounds> services;
  private final ImmutableSet<ServiceName> configuredServices;
  private final int maxBodyBytes;
  private final Workspaces workspaces;
  private final ServiceRanks ranks;
  private final OptionalInt mostUrgentPriority;

  /** Creates a revision without workspaces. */
  public RelayConfiguration(
      long revision,
      ImmutableList<RelayRule> rules,
      ImmutableMap<ServiceName, ServiceBounds> services,
      int maxBodyBytes) {
    this(revision, rules, services, maxBodyBytes, Workspaces.OPEN);
  }

  /**
   * Creates a revision.
   *
   * @param revision the number of the revision, which increases with each change
   * @param rules the rules; the first of several with the same host and prefix is used
   * @param services the limits of each upstream, by service
   * @param maxBodyBytes the maximum size of a request body, in bytes
   * @param workspaces the workspaces whose calls are accepted
   */
  public RelayConfiguration(
      long revision,
      ImmutableList<RelayRule> rules,
      ImmutableMap<ServiceName, ServiceBounds> services,
      int maxBodyBytes,
      Workspaces workspaces) {
    this.revision = revision;
    this.workspaces = workspaces;
    this.services = services;
    this.maxBodyBytes = maxBodyBytes;
    this.ranks = new ServiceRanks(rules, workspaces);
    ImmutableListMultimap.Builder<String, RelayRule> hosts = ImmutableListMultimap.builder();
    rules.stream()
        .sorted(Comparator.comparingInt((RelayRule r) -> r.prefix().length()).reversed())
        .forEach(r -> hosts.put(r.host().toLowerCase(Locale.ROOT), r));
    byHost = hosts.build();
    IntSummaryStatistics priorities =
        rules.stream().mapToInt(RelayRule::priority).summaryStatistics();
    mostUrgentPriority =
        priorities.getMin() < priorities.getMax()
            ? OptionalInt.of(priorities.getMin())
            : OptionalInt.empty();
    configuredServices =
        Stream.concat(
                services.keySet().stream(),
                rules.stream().flatMap(r -> r.split().stream()).map(RelayRule.Share::service))
            .collect(ImmutableSet.toImmutableSet());
  }

  /** Returns the number of the revision. */
  public long revision() {
    return revision;
  }

  /** Returns the maximum size of a request body, in bytes. */
  public int maxBodyBytes() {
    return maxBodyBytes;
  }

  /** Returns the workspaces whose calls are accepted. */
  public Workspaces workspaces() {
    return workspaces;
  }

  /** Returns the number of rules. */
  public int ruleCount() {
    return byHost.size();
  }

  /**
   * Returns the rule with the longest prefix of the path.
   *
   * @param host the host that the caller names, with or without a port
   * @param path the path without its query
   */
  public Optional<RelayRule> match(String host, String path) {
    return byHost.get(withoutPort(host).toLowerCase(Locale.ROOT)).stream()
        .filter(r -> path.startsWith(r.prefix()))
        .findFirst();
  }

  /** Returns the limits of each upstream of a service. */
  public ServiceBounds bounds(ServiceName service) {
    return services.getOrDefault(service, ServiceBounds.NONE);
  }

  /**
   * Returns the smallest priority of a rule, if the rules name at least two; else the calls of a
   * workspace have only one rank.
   */
  public OptionalInt mostUrgentPriority() {
    return mostUrgentPriority;
  }

  /** Returns whether a rule routes to the service, or limits are configured for it. */
  public boolean isConfigured(ServiceName service) {
    return configuredServices.contains(service);
  }

  /** Returns the ranks of the calls of each service. */
  public ServiceRanks ranks() {
    return ranks;
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }
}
