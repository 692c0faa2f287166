// Result of an operation that can fail. Each layer has an error struct of its
// own and translates the errors of the layer below into it.
#ifndef MANGOCART_CORE_RESULT_H
#define MANGOCART_CORE_RESULT_H

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>

namespace mangocart {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

// Reading value() of a failed result throws, so a forgotten check is loud.
template <class T, class E> using Result = outcome::checked<T, E>;

using outcome::failure;
using outcome::success;

} // namespace mangocart

#endif
