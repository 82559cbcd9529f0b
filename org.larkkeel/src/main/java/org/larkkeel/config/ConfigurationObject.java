/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.config;

import org.larkkeel.lib.Labels;

/**
 * A configuration object, which operators create, label and delete.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @since 0.1
 */
public sealed interface ConfigurationObject permits Upstream, Pool, Rule, Workspace {
  /**
   * Returns the labels that selectors match.
   *
   * @return the labels, never null
   */
  Labels labels();

  /**
   * Returns the id of the object: its kind and name.
   *
   * @return the id, never null
   */
  default ObjectId id() {
    return switch (this) {
      case Upstream upstream -> new ObjectId(ObjectKind.UPSTREAM, upstream.name().value());
      case Pool pool -> new ObjectId(ObjectKind.POOL, pool.name().value());
      case Rule rule -> new ObjectId(ObjectKind.RULE, rule.name().value());
      case Workspace workspace -> new ObjectId(ObjectKind.WORKSPACE, workspace.name().value());
    };
  }

  /**
   * Returns a copy with other labels.
   *
   * @param newLabels the labels, never null
   * @return the copy
   */
  default ConfigurationObject withLabels(Labels newLabels) {
    return switch (this) {
      case Upstream u ->
          new Upstream(
              u.name(),
              u.address(),
              newLabels,
              u.models(),
              u.slots(),
              u.fencing(),
              u.linkBytesPerSecond());
      case Pool p -> new Pool(p.name(), p.role(), newLabels, p.upstreams());
      case Rule r ->
          new Rule(
              r.name(),
              newLabels,
              r.priority(),
              r.match(),
              r.pools(),
              r.urgency(),
              r.targets(),
              r.repeatability(),
              r.maxAttempts());
      case Workspace w -> new Workspace(w.name(), newLabels, w.limits(), w.tokenSha256());
    };
  }
}
