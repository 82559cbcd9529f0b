/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.lib.WorkspaceName;

/**
 * The workspaces of a configuration and their keys.
 *
 * <p>Invariant: a key is that of one workspace. Keys are found by their digests, so that the time
 * of a look-up tells nothing of a key. Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public final class Workspaces {
  /** Without workspaces: callers need no key. */
  public static final Workspaces OPEN = new Workspaces(false, Map.of(), ImmutableMap.of());

  private final boolean required;
  private final Map<CallerKey, RelayWorkspace> byKey;
  private final ImmutableMap<WorkspaceName, RelayWorkspace> byName;

  private Workspaces(
      boolean required,
      Map<CallerKey, RelayWorkspace> byKey,
      ImmutableMap<WorkspaceName, RelayWorkspace> byName) {
    this.required = required;
    this.byKey = byKey;
    this.byName = byName;
  }

  /** Whether callers need a key, but on rules that allow anonymous ones. */
  public boolean areRequired() {
    return required;
  }

  /** The workspace that holds a key. */
  public Optional<RelayWorkspace> find(CallerKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** The workspace of a name. */
  public Optional<RelayWorkspace> find(WorkspaceName name) {
    return Optional.ofNullable(byName.get(name));
  }

  /** Whether any workspace has a limit. */
  public boolean haveLimits() {
    return byName.values().stream().anyMatch(w -> w.limit().isLimited());
  }

  /** Begins with workspaces that are required, and none. */
  public static Builder builder() {
    return new Builder();
  }

  /** Gathers workspaces. Not safe for use by several threads. */
  public static final class Builder {
    private final Map<CallerKey, RelayWorkspace> byKey = new HashMap<>();
    private final ImmutableMap.Builder<WorkspaceName, RelayWorkspace> byName =
        ImmutableMap.builder();

    /**
     * Adds a workspace.
     *
     * @throws IllegalArgumentException if a key is another workspace's; the message does not name
     *     the key
     */
    public Builder add(RelayWorkspace workspace, Iterable<CallerKey> keys) {
      byName.put(workspace.name(), workspace);
      for (CallerKey key : keys) {
        RelayWorkspace before = byKey.putIfAbsent(key, workspace);
        if (before != null && !before.name().equals(workspace.name())) {
          throw new IllegalArgumentException(
              "a key of " + workspace.name() + " is " + before.name() + "'s as well: use another");
        }
      }
      return this;
    }

    /**
     * The workspaces.
     *
     * @throws IllegalArgumentException if two have one name
     */
    public Workspaces build() {
      return new Workspaces(true, Map.copyOf(byKey), byName.buildOrThrow());
    }
  }
}
