/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.daemon.relay;

import com.google.common.collect.ImmutableList;
import java.util.List;
import java.util.Optional;
import org.apache.thrift.TException;
import org.larkkeel.relay.BuildName;
import org.larkkeel.relay.RequestTerms;
import org.larkkeel.relay.ReservationRequest;

/**
 * Writes and reads the extensions that add to the requests of a message, by position.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestExtensions {
  private RequestExtensions() {}

  /** Returns the extensions of a message, with those of its requests. */
  static MessageExtensions of(PeerMessage message) {
    ImmutableList<ReservationRequest> requests = message.requests();
    MessageExtensions extensions =
        addBuilds(
            RequestRanksCodec.toBytes(requests)
                .map(b -> message.extensions().with(ExtensionId.REQUEST_RANKS, b))
                .orElse(message.extensions()),
            requests.stream().map(ReservationRequest::build).toList());
    List<Optional<RequestTerms>> terms = requests.stream().map(ReservationRequest::terms).toList();
    return terms.stream().allMatch(Optional::isEmpty)
        ? extensions
        : extensions
            .with(ExtensionId.REQUEST_IDENTITIES, RequestIdentitiesCodec.toBytes(terms))
            .with(ExtensionId.REQUEST_TERMS, RequestTermsCodec.toBytes(terms));
  }

  private static MessageExtensions addBuilds(
      MessageExtensions extensions, List<Optional<BuildName>> builds) {
    return builds.stream().allMatch(Optional::isEmpty)
        ? extensions
        : extensions.with(ExtensionId.REQUEST_BUILDS, RequestBuildsCodec.toBytes(builds));
  }

  /** Returns the extensions that do not add to requests. */
  static MessageExtensions without(MessageExtensions extensions) {
    return extensions
        .without(ExtensionId.REQUEST_RANKS)
        .without(ExtensionId.REQUEST_BUILDS)
        .without(ExtensionId.REQUEST_IDENTITIES)
        .without(ExtensionId.REQUEST_TERMS);
  }

  /** Returns requests with what the extensions add to them; malformed extensions are ignored. */
  static ImmutableList<ReservationRequest> apply(
      MessageExtensions extensions, ImmutableList<ReservationRequest> requests) {
    return withBuilds(extensions, withTerms(extensions, withRanks(requests, extensions)));
  }

  private static ImmutableList<ReservationRequest> withBuilds(
      MessageExtensions extensions, ImmutableList<ReservationRequest> requests) {
    Optional<ImmutableList<Optional<BuildName>>> builds =
        extensions.parse(
            ExtensionId.REQUEST_BUILDS, b -> RequestBuildsCodec.fromBytes(b, requests.size()));
    if (builds.isEmpty()) {
      return requests;
    }
    ImmutableList.Builder<ReservationRequest> withBuilds = ImmutableList.builder();
    for (int i = 0; i < requests.size(); i++) {
      withBuilds.add(requests.get(i).withBuild(builds.get().get(i)));
    }
    return withBuilds.build();
  }

  private static ImmutableList<ReservationRequest> withTerms(
      MessageExtensions extensions, ImmutableList<ReservationRequest> requests) {
    Optional<ImmutableList<Optional<RequestTerms>>> terms =
        extensions
            .parse(ExtensionId.REQUEST_IDENTITIES, RequestIdentitiesCodec::fromBytes)
            .filter(identities -> identities.size() == requests.size())
            .flatMap(
                identities ->
                    extensions.parse(
                        ExtensionId.REQUEST_TERMS,
                        bytes -> RequestTermsCodec.fromBytes(bytes, identities)));
    if (terms.isEmpty()) {
      return requests;
    }
    ImmutableList.Builder<ReservationRequest> withTerms = ImmutableList.builder();
    for (int i = 0; i < requests.size(); i++) {
      withTerms.add(requests.get(i).withTerms(terms.get().get(i)));
    }
    return withTerms.build();
  }

  private static ImmutableList<ReservationRequest> withRanks(
      ImmutableList<ReservationRequest> requests, MessageExtensions extensions) {
    Optional<byte[]> ranks = extensions.get(ExtensionId.REQUEST_RANKS);
    if (ranks.isEmpty()) {
      return requests;
    }
    try {
      ImmutableList<ReservationRequest> ranked = RequestRanksCodec.apply(ranks.get(), requests);
      ExtensionCounts.PROCESS.read(ExtensionId.REQUEST_RANKS);
      return ranked;
    } catch (TException | IllegalArgumentException | IndexOutOfBoundsException e) {
      MessageExtensions.reportMalformed(ExtensionId.REQUEST_RANKS, e);
      return requests;
    }
  }
}
