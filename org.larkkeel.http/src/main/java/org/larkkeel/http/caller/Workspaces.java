/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.caller;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.Locale;
import java.util.Optional;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Workspace;
import org.larkkeel.http.BearerToken;
import org.larkkeel.lib.WorkspaceName;

/**
 * Index of the configured workspaces, to find the workspace of a caller.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param byToken the workspaces by the digest of their token
 * @param open the names of the workspaces that need no token
 * @since 0.1
 */
public record Workspaces(
    ImmutableMap<BearerToken, WorkspaceName> byToken, ImmutableSet<String> open) {
  /**
   * Indexes the workspaces of a configuration.
   *
   * @param configuration the current configuration
   * @return the index
   */
  public static Workspaces of(Configuration configuration) {
    ImmutableMap.Builder<BearerToken, WorkspaceName> byToken = ImmutableMap.builder();
    ImmutableSet.Builder<String> open = ImmutableSet.builder();
    for (Workspace workspace : configuration.workspaces().values()) {
      workspace
          .tokenSha256()
          .ifPresentOrElse(
              digest ->
                  byToken.put(new BearerToken(digest.toLowerCase(Locale.ROOT)), workspace.name()),
              () -> open.add(workspace.name().value()));
    }
    return new Workspaces(byToken.buildKeepingLast(), open.build());
  }

  /**
   * Finds the workspace of a token.
   *
   * @param token the token
   * @return the workspace; empty if no workspace has this token
   */
  public Optional<WorkspaceName> of(BearerToken token) {
    return Optional.ofNullable(byToken.get(token));
  }

  /**
   * Finds a workspace that needs no token.
   *
   * @param name the name as the caller sent it; may be null
   * @return the workspace; empty if there is none of this name or it requires a token
   */
  public Optional<WorkspaceName> open(String name) {
    return name != null && open.contains(name)
        ? Optional.of(new WorkspaceName(name))
        : Optional.empty();
  }

  /**
   * Returns whether there are no workspaces, as on a node that has not received a configuration.
   *
   * @return true if no caller can be authenticated
   */
  public boolean isEmpty() {
    return byToken.isEmpty() && open.isEmpty();
  }
}
