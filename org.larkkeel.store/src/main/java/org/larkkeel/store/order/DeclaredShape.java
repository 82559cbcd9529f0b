/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.store.order;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Maps;
import java.util.Optional;
import org.larkkeel.config.Role;
import org.larkkeel.config.Upstream;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.Names;

/**
 * Derives the declared shape of an engine from the configuration: the models from {@code models},
 * and role, version and adapter from labels.
 *
 * <p>Stateless and thread-safe.
 *
 * @since 0.1
 */
public final class DeclaredShape {
  /** The label for the role, {@code prefill} or {@code decode}. */
  public static final String ROLE_LABEL = "role";

  /** The label for the version of all models of the engine. */
  public static final String VERSION_LABEL = "version";

  /** The label for an adapter that the engine must have. */
  public static final String ADAPTER_LABEL = "adapter";

  private DeclaredShape() {}

  /**
   * Returns the declared shape of an engine. A role without a label is that of the current shape;
   * versions and adapters without a label are not constrained.
   *
   * @param upstream the engine
   * @param current the current shape of the engine, empty if unknown
   * @return the declared shape; empty if the upstream is no engine, is leaving, or has neither a
   *     role label nor a known role
   */
  public static Optional<EngineShape> of(Upstream upstream, Optional<EngineShape> current) {
    if (upstream.models().isEmpty() || upstream.isLeaving()) {
      return Optional.empty();
    }
    Labels labels = upstream.labels();
    Optional<String> version = labels.get(VERSION_LABEL).filter(Names::isValid);
    Optional<AdapterName> adapter =
        labels.get(ADAPTER_LABEL).filter(Names::isValid).map(AdapterName::new);
    return labels
        .get(ROLE_LABEL)
        .flatMap(DeclaredShape::role)
        .or(() -> current.map(EngineShape::role))
        .map(
            role ->
                new EngineShape(
                    role,
                    upstream.models(),
                    version
                        .map(v -> ImmutableMap.copyOf(Maps.asMap(upstream.models(), m -> v)))
                        .orElse(ImmutableMap.of()),
                    adapter.map(ImmutableSet::of).orElse(ImmutableSet.of())));
  }

  /**
   * Parses the role of an engine.
   *
   * @param word the role as written in labels and in the engine protocol
   * @return the role, empty if it is not a role of an engine
   */
  public static Optional<Role> role(String word) {
    return switch (word) {
      case "prefill" -> Optional.of(Role.PREFILL);
      case "decode" -> Optional.of(Role.DECODE);
      default -> Optional.empty();
    };
  }
}
