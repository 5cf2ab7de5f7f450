#ifndef CAMPHORFERRY_COMMON_OVERLOADED_H_
#define CAMPHORFERRY_COMMON_OVERLOADED_H_

namespace camphorferry::common {

/// Visitor for std::visit made of one callable for each alternative.
template <typename... Cases>
struct Overloaded : Cases... {
  using Cases::operator()...;
};

template <typename... Cases>
Overloaded(Cases...) -> Overloaded<Cases...>;

}  // namespace camphorferry::common

#endif  // CAMPHORFERRY_COMMON_OVERLOADED_H_
