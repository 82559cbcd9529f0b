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
 * Reads from the configuration what an engine should do: its models from {@code models}, and role,
 * version and adapter from labels.
 *
 * <p>Stateless and safe for use by several threads.
 *
 * @since 0.1
 */
public final class DeclaredShape {
  /** The label that names the role, {@code prefill} or {@code decode}. */
  public static final String ROLE_LABEL = "role";

  /** The label that names the version of all models of the engine. */
  public static final String VERSION_LABEL = "version";

  /** The label that names an adapter that the engine has to have. */
  public static final String ADAPTER_LABEL = "adapter";

  private DeclaredShape() {}

  /**
   * Tells what an engine should do. What no label names stays as it is.
   *
   * @param upstream the engine
   * @param is what it does, empty if unknown
   * @return what it should do; empty if it is no engine, is leaving, or has a role that neither a
   *     label nor itself tells
   */
  public static Optional<EngineShape> of(Upstream upstream, Optional<EngineShape> is) {
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
        .or(() -> is.map(EngineShape::role))
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
   * Reads a role of an engine.
   *
   * @param word the word of labels and of the engine protocol
   * @return the role, empty if it is not one of an engine
   */
  public static Optional<Role> role(String word) {
    return switch (word) {
      case "prefill" -> Optional.of(Role.PREFILL);
      case "decode" -> Optional.of(Role.DECODE);
      default -> Optional.empty();
    };
  }
}
