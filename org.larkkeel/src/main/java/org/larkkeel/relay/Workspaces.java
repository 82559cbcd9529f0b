/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.relay;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.lib.WorkspaceName;

/**
 * The workspaces of a configuration and their keys.
 *
 * <p>Invariant: each key belongs to one workspace. Keys are looked up by their digests, so that the
 * duration of a look-up does not reveal anything about a key. Immutable and safe for use by several
 * threads.
 *
 * @since 0.1
 */
public final class Workspaces {
  /** A configuration without workspaces, in which callers need no key. */
  public static final Workspaces OPEN = new Workspaces(false, Map.of(), ImmutableMap.of());

  private final boolean keysRequired;
  private final Map<CallerKey, RelayWorkspace> byKey;
  private final ImmutableMap<WorkspaceName, RelayWorkspace> byName;

  private Workspaces(
      boolean required,
      Map<CallerKey, RelayWorkspace> byKey,
      ImmutableMap<WorkspaceName, RelayWorkspace> byName) {
    this.keysRequired = required;
    this.byKey = byKey;
    this.byName = byName;
  }

  /** Returns whether callers need a key, except on rules that allow anonymous callers. */
  public boolean areKeysRequired() {
    return keysRequired;
  }

  /** Returns the workspace of a key; empty if the key is unknown. */
  public Optional<RelayWorkspace> find(CallerKey key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /** Returns the workspace with a name; empty if there is none. */
  public Optional<RelayWorkspace> find(WorkspaceName name) {
    return Optional.ofNullable(byName.get(name));
  }

  /** Returns whether any workspace has a limit. */
  public boolean hasLimits() {
    return byName.values().stream().anyMatch(w -> w.limit().isLimited());
  }

  /** Returns the priorities that workspaces name. */
  ImmutableSortedSet<Integer> priorities() {
    return byName.values().stream()
        .flatMapToInt(w -> w.priority().stream())
        .boxed()
        .collect(ImmutableSortedSet.toImmutableSortedSet(Comparator.naturalOrder()));
  }

  /** Returns whether a call can be of no workspace, or of one without a priority. */
  boolean mayLackPriority() {
    return !keysRequired || byName.values().stream().anyMatch(w -> w.priority().isEmpty());
  }

  /** Returns a builder of workspaces for a configuration in which callers need a key. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects workspaces. Not safe for use by several threads. */
  public static final class Builder {
    private final Map<CallerKey, RelayWorkspace> byKey = new HashMap<>();
    private final ImmutableMap.Builder<WorkspaceName, RelayWorkspace> byName =
        ImmutableMap.builder();

    /**
     * Adds a workspace.
     *
     * @throws IllegalArgumentException if a key already belongs to another workspace; the message
     *     does not contain the key
     */
    public Builder add(RelayWorkspace workspace, Iterable<CallerKey> keys) {
      byName.put(workspace.name(), workspace);
      for (CallerKey key : keys) {
        RelayWorkspace previous = byKey.putIfAbsent(key, workspace);
        if (previous != null && !previous.name().equals(workspace.name())) {
          throw new IllegalArgumentException(
              "a key of workspace "
                  + workspace.name()
                  + " also belongs to workspace "
                  + previous.name()
                  + ": use another key");
        }
      }
      return this;
    }

    /**
     * Returns the workspaces.
     *
     * @throws IllegalArgumentException if two workspaces have the same name
     */
    public Workspaces build() {
      return new Workspaces(true, Map.copyOf(byKey), byName.buildOrThrow());
    }
  }
}
