/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.http.operator;

import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;

/** The operations of the API by method and path. */
enum Endpoint {
  CONFIGURATION(Methods.GET_STRING, OperatorPaths.CONFIGURATION, OperatorRole.VIEWER),
  AUDIT(Methods.GET_STRING, OperatorPaths.CHANGES, OperatorRole.VIEWER),
  PROPOSE(Methods.POST_STRING, OperatorPaths.CHANGES, OperatorRole.OPERATOR),
  EXPLAIN(Methods.GET_STRING, OperatorPaths.EXPLANATION, OperatorRole.VIEWER),
  STATUS(Methods.GET_STRING, OperatorPaths.STATUS, OperatorRole.VIEWER),
  ROLLOUT(Methods.GET_STRING, OperatorPaths.ROLLOUT, OperatorRole.VIEWER),
  DRAIN(Methods.POST_STRING, OperatorPaths.DRAIN, OperatorRole.OPERATOR);

  private final String method;
  private final String path;
  private final OperatorRole role;

  Endpoint(String method, String path, OperatorRole role) {
    this.method = method;
    this.path = path;
    this.role = role;
  }

  /** The role needed; a check of a change needs no more than reading. */
  OperatorRole role(DryRun dryRun) {
    return this == PROPOSE && dryRun == DryRun.YES ? OperatorRole.VIEWER : role;
  }

  static Optional<Endpoint> find(HttpString method, String path) {
    return Arrays.stream(values())
        .filter(e -> e.path.equals(path) && e.method.equals(method.toString()))
        .findFirst();
  }

  /** The methods of a path for {@code Allow}; empty if there is no such path. */
  static String methods(String path) {
    return Arrays.stream(values())
        .filter(e -> e.path.equals(path))
        .map(e -> e.method)
        .collect(Collectors.joining(", "));
  }
}
