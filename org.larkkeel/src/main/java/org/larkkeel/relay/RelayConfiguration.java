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
import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * One revision of the rules.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class RelayConfiguration {
  private final long revision;
  private final ImmutableListMultimap<String, RelayRule> byHost;
  private final ImmutableMap<ServiceName, ServiceBounds> services;
  private final ImmutableSet<ServiceName> named;
  private final int maxBodyBytes;
  private final Workspaces workspaces;

  /** Makes a revision without workspaces. */
  public RelayConfiguration(
      long revision,
      ImmutableList<RelayRule> rules,
      ImmutableMap<ServiceName, ServiceBounds> services,
      int maxBodyBytes) {
    this(revision, rules, services, maxBodyBytes, Workspaces.OPEN);
  }

  /**
   * Makes a revision.
   *
   * @param revision grows with each change
   * @param rules the rules; of one host and prefix the first counts
   * @param services what upstreams bear
   * @param maxBodyBytes the largest body of a request
   * @param workspaces whose calls are taken
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
    ImmutableListMultimap.Builder<String, RelayRule> hosts = ImmutableListMultimap.builder();
    rules.stream()
        .sorted(Comparator.comparingInt((RelayRule r) -> r.prefix().length()).reversed())
        .forEach(r -> hosts.put(r.host().toLowerCase(Locale.ROOT), r));
    byHost = hosts.build();
    named =
        Stream.concat(
                services.keySet().stream(),
                rules.stream().flatMap(r -> r.split().stream()).map(RelayRule.Share::service))
            .collect(ImmutableSet.toImmutableSet());
  }

  /** The number of the revision. */
  public long revision() {
    return revision;
  }

  /** The largest body of a request, in bytes. */
  public int maxBodyBytes() {
    return maxBodyBytes;
  }

  /** Whose calls are taken. */
  public Workspaces workspaces() {
    return workspaces;
  }

  /** How many rules there are. */
  public int size() {
    return byHost.size();
  }

  /**
   * The rule of the longest prefix that begins the path.
   *
   * @param host as the caller names it, with or without a port
   * @param path the path without its query
   */
  public Optional<RelayRule> match(String host, String path) {
    return byHost.get(withoutPort(host).toLowerCase(Locale.ROOT)).stream()
        .filter(r -> path.startsWith(r.prefix()))
        .findFirst();
  }

  /** What each upstream of a service bears. */
  public ServiceBounds bounds(ServiceName service) {
    return services.getOrDefault(service, ServiceBounds.NONE);
  }

  /** Whether a rule leads to a service, or its bounds are told. */
  public boolean names(ServiceName service) {
    return named.contains(service);
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }
}
