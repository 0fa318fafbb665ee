//! Collects samples, fits lines to them and formats both as tab-separated values.

use std::fmt;

/// One measured value.
#[derive(Clone, Debug, PartialEq)]
pub struct Sample {
    /// Name of the measured quantity.
    pub quantity: String,
    /// Unit of `value`.
    pub unit: &'static str,
    /// Size at which it was measured, such as a number of customers.
    pub size: usize,
    /// Measured value.
    pub value: f64,
}

/// Line fitted to the samples of one quantity by least squares.
#[derive(Clone, Debug, PartialEq)]
pub struct LinearFit {
    /// Name of the measured quantity.
    pub quantity: String,
    /// Unit of the samples.
    pub unit: &'static str,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Value at size 0.
    pub intercept: f64,
}

impl fmt::Display for Sample {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (quantity, unit, size) = (&self.quantity, self.unit, self.size);
        write!(f, "{quantity}\t{unit}\t{size}\t{:.3}", self.value)
    }
}

impl fmt::Display for LinearFit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (quantity, unit) = (&self.quantity, self.unit);
        let (slope, intercept) = (self.slope, self.intercept);
        write!(f, "{quantity}\t{unit}\t{slope:.6}\t{intercept:.3}")
    }
}

/// Samples of one run; each is printed when it is added.
#[derive(Clone, Debug, Default)]
pub struct Report {
    samples: Vec<Sample>,
}

impl Report {
    /// Creates an empty report and prints the header line of the samples.
    pub fn with_printed_header() -> Self {
        println!("quantity\tunit\tsize\tvalue");
        Self::default()
    }

    /// Adds a sample and prints it.
    pub fn add(&mut self, quantity: &str, unit: &'static str, size: usize, value: f64) {
        let sample = Sample {
            quantity: quantity.to_string(),
            unit,
            size,
            value,
        };
        println!("{sample}");
        self.samples.push(sample);
    }

    /// Fits a line to each quantity that has samples of at least two sizes.
    pub fn fits(&self) -> Vec<LinearFit> {
        let mut quantities: Vec<&str> = Vec::new();
        for sample in &self.samples {
            if !quantities.contains(&sample.quantity.as_str()) {
                quantities.push(&sample.quantity);
            }
        }
        let fits = quantities.into_iter().filter_map(|name| self.fit(name));
        fits.collect()
    }

    fn fit(&self, quantity: &str) -> Option<LinearFit> {
        let samples = || self.samples.iter().filter(|s| s.quantity == quantity);
        let count = samples().count() as f64;
        let mean_size = samples().map(|s| s.size as f64).sum::<f64>() / count;
        let mean_value = samples().map(|s| s.value).sum::<f64>() / count;
        let spread = |s: &Sample| s.size as f64 - mean_size;
        let variance: f64 = samples().map(|s| spread(s) * spread(s)).sum();
        let covariance: f64 = samples().map(|s| spread(s) * (s.value - mean_value)).sum();
        let slope = covariance / variance;
        (variance > 0.0).then(|| LinearFit {
            quantity: quantity.to_string(),
            unit: samples().next().map_or("", |sample| sample.unit),
            slope,
            intercept: mean_value - slope * mean_size,
        })
    }
}
