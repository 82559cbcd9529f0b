/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.router.internal;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableSortedMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.larkkeel.call.Call;
import org.larkkeel.config.Configuration;
import org.larkkeel.config.Match;
import org.larkkeel.config.Rule;
import org.larkkeel.config.Workspace;
import org.larkkeel.lib.Labels;
import org.larkkeel.lib.ModelName;
import org.larkkeel.lib.RuleName;
import org.larkkeel.lib.WorkspaceName;

/**
 * An index of the rules by model that finds the rule of a request.
 *
 * <p>Invariant: the result equals that of a search of all rules by descending priority, then by
 * name. Not safe for use by several threads.
 *
 * @since 0.1
 */
public final class RuleIndex {
  private static final Comparator<Rule> ORDER =
      Comparator.comparingInt(Rule::priority).reversed().thenComparing(Rule::name);

  private ImmutableSortedMap<RuleName, Rule> rules = ImmutableSortedMap.of();
  private ImmutableSortedMap<WorkspaceName, Workspace> workspaces = ImmutableSortedMap.of();
  private final Map<ModelName, ImmutableList<Rule>> byModel = new HashMap<>();
  private ImmutableList<Rule> anyModelRules = ImmutableList.of();
  private ImmutableList<Rule> plainRules = ImmutableList.of();

  /**
   * Applies a configuration.
   *
   * @param next the configuration
   */
  public void apply(Configuration next) {
    workspaces = next.workspaces();
    if (rules.equals(next.rules())) {
      return;
    }
    rules = next.rules();
    List<Rule> ordered = new ArrayList<>(rules.values());
    ordered.sort(ORDER);
    rebuild(ordered);
  }

  /**
   * Returns the rule of a request.
   *
   * @param call the request
   * @return the first rule that matches; empty if none does
   */
  public Optional<Rule> find(Call call) {
    ImmutableList<Rule> candidates =
        switch (call) {
          case Call.Completion completion ->
              byModel.getOrDefault(completion.model(), anyModelRules);
          case Call.Plain ignored -> plainRules;
        };
    for (Rule rule : candidates) {
      if (matches(rule.match(), call)) {
        return Optional.of(rule);
      }
    }
    return Optional.empty();
  }

  private void rebuild(List<Rule> ordered) {
    byModel.clear();
    anyModelRules =
        ordered.stream()
            .filter(r -> r.match().model().isEmpty() && r.match().pathPrefix().isEmpty())
            .collect(ImmutableList.toImmutableList());
    plainRules =
        ordered.stream()
            .filter(r -> r.match().model().isEmpty())
            .collect(ImmutableList.toImmutableList());
    for (Rule rule : ordered) {
      rule.match()
          .model()
          .ifPresent(model -> byModel.computeIfAbsent(model, m -> forModel(m, ordered)));
    }
  }

  private static ImmutableList<Rule> forModel(ModelName model, List<Rule> ordered) {
    return ordered.stream()
        .filter(r -> r.match().pathPrefix().isEmpty())
        .filter(r -> r.match().model().map(model::equals).orElse(true))
        .collect(ImmutableList.toImmutableList());
  }

  private boolean matches(Match match, Call call) {
    if (call instanceof Call.Plain plainCall
        && !match.pathPrefix().map(plainCall.path()::startsWith).orElse(true)) {
      return false;
    }
    if (match.workspaces().requirements().isEmpty()) {
      return true;
    }
    Workspace workspace = workspaces.get(call.workspace());
    return match.workspaces().matches(workspace == null ? Labels.NONE : workspace.labels());
  }
}
