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

/** The operations of the operators' API, each with its method, path and required role. */
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
  private final OperatorRole requiredRole;

  Endpoint(String method, String path, OperatorRole role) {
    this.method = method;
    this.path = path;
    this.requiredRole = role;
  }

  /** Returns the required role; a dry run of a change only requires the role for reading. */
  OperatorRole requiredRole(DryRun dryRun) {
    return this == PROPOSE && dryRun == DryRun.YES ? OperatorRole.VIEWER : requiredRole;
  }

  static Optional<Endpoint> find(HttpString method, String path) {
    return Arrays.stream(values())
        .filter(e -> e.path.equals(path) && e.method.equals(method.toString()))
        .findFirst();
  }

  /** Returns the value of {@code Allow} for a path; empty if the path does not exist. */
  static String allowedMethods(String path) {
    return Arrays.stream(values())
        .filter(e -> e.path.equals(path))
        .map(e -> e.method)
        .collect(Collectors.joining(", "));
  }
}
